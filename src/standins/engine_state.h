#ifndef DOTTERELSHED_STANDINS_ENGINE_STATE_H_
#define DOTTERELSHED_STANDINS_ENGINE_STATE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fake_model.h"
#include "standin.h"

/// @file
/// What goes on inside the engine stand-in: streams that generate at a rate, a
/// prefix cache and holds in limited memory, cache events, lagged load.

namespace dotterelshed::standins {

struct EngineOptions {
  /// Tokens a second and stream; 0 makes the whole answer at once.
  double m_token_rate = 0;
  /// Uncached prompt tokens a second; 0 takes no time.
  double m_prefill_rate = 0;
  int m_max_running = 64;
  std::int64_t m_kv_capacity = 200000;
  std::chrono::milliseconds m_load_lag{500};
  std::chrono::milliseconds m_event_lag{200};
  /// Cache events kept; older ones are lost, which readers see as a gap.
  std::size_t m_event_history = 256;
  std::chrono::milliseconds m_model_load_time{200};
  bool m_checks_fencing = false;
  /// Models loaded at the start; empty serves any model.
  std::set<std::string> m_models;
};

/// One generation. Fields change under the engine's lock only.
struct Stream {
  std::string m_attempt;
  std::string m_model;
  std::string m_program;
  std::string m_hold;
  FakeAnswer m_answer;
  std::vector<PromptPrefix> m_prefixes;
  std::int64_t m_prompt_tokens = 0;
  std::int64_t m_cached_tokens = 0;
  bool m_running = false;
  bool m_finished = false;
  bool m_cancelled = false;
  double m_prefill_left_s = 0;
  double m_progress = 0;

  auto Generated() const -> std::size_t;
};

/// What a reader of a stream gets next.
struct StreamPiece {
  std::string m_text;
  /// Byte offset of m_text in the whole answer.
  std::size_t m_offset = 0;
  std::size_t m_tokens_so_far = 0;
  bool m_finished = false;
  bool m_cancelled = false;
};

class EngineState {
 public:
  explicit EngineState(EngineOptions options);

  /// Queues a generation. The same attempt again joins the first.
  auto Start(const std::string& attempt,
             const std::string& program,
             const std::string& hold,
             const Json& request) -> std::shared_ptr<Stream>;
  auto Find(const std::string& attempt) -> std::shared_ptr<Stream>;
  auto Cancel(const std::string& attempt) -> bool;

  /// Text from byte @p offset on, waiting up to @p wait for more.
  auto Read(const Stream& stream,
            std::size_t offset,
            std::chrono::milliseconds wait) -> StreamPiece;

  /// Moves all streams on to @p now; called by a thread of the stand-in.
  auto Advance(Clock::time_point now) -> void;

  /// False when @p fence is older than one seen before and fencing is on.
  auto AcceptFence(std::int64_t fence) -> bool;
  auto HasModel(const std::string& model) -> bool;
  auto SetModel(const std::string& model, bool loaded) -> void;
  auto SetLeaving(bool leaving) -> void;
  auto IsLeaving() -> bool;
  auto SetSlowFactor(double factor) -> void;
  /// Forgets the next @p count cache events.
  auto DropEvents(int count) -> void;

  auto Load() -> Json;
  auto CacheEventsSince(std::int64_t since) -> Json;
  auto Holds() -> Json;
  auto ReleaseHold(const std::string& hold) -> bool;
  auto Runs() -> Json;

 private:
  struct Hold {
    std::string m_program;
    std::int64_t m_tokens = 0;
    std::int64_t m_order = 0;
  };
  struct CacheEvent {
    std::int64_t m_number = 0;
    Json m_event;
    Clock::time_point m_at;
  };

  auto StartWaiting() -> void;
  auto FinishStream(Stream& stream) -> void;
  auto FindCached(const std::vector<PromptPrefix>& prefixes) -> std::int64_t;
  auto Remember(const std::vector<PromptPrefix>& prefixes) -> void;
  auto UsedTokens() const -> std::int64_t;
  auto EvictToFit() -> void;
  auto AddEvent(Json event) -> void;
  auto Snapshot() const -> Json;

  const EngineOptions m_options;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::shared_ptr<Stream>> m_streams;
  std::deque<std::string> m_stream_order;
  std::deque<std::shared_ptr<Stream>> m_waiting;
  std::vector<std::shared_ptr<Stream>> m_running;
  /// Most recent last; digest and tokens of each cached prefix.
  std::list<PromptPrefix> m_cache;
  std::map<std::string, Hold> m_holds;
  std::int64_t m_hold_order = 0;
  std::deque<CacheEvent> m_events;
  std::int64_t m_next_event = 0;
  int m_drop_events = 0;
  std::deque<std::pair<Clock::time_point, Json>> m_loads;
  std::map<std::string, Clock::time_point> m_models;
  Json m_runs = Json::array();
  Clock::time_point m_last_advance;
  std::int64_t m_highest_fence = 0;
  double m_slow_factor = 1;
  bool m_leaving = false;
};

}  // namespace dotterelshed::standins

#endif  // DOTTERELSHED_STANDINS_ENGINE_STATE_H_
