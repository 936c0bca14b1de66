#ifndef DOTTERELSHED_LIBHOST_REQUEST_ENTRY_H_
#define DOTTERELSHED_LIBHOST_REQUEST_ENTRY_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "dotterelshed/call.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/peer_node.h"

/// @file
/// One request under way or just finished on this host: its text so far and
/// its answer, for any number of readers.

namespace dotterelshed::pvt {

/// Collects the text of a request from its attempts, or from the host that
/// runs it, and gives it to readers from any offset on. Published text never
/// changes: text of another attempt is taken only where it continues what was
/// published. All functions are safe to call from several threads.
class RequestEntry {
 public:
  /// What a reader gets from Read.
  struct Piece {
    std::string m_text;
    /// Set with the last piece.
    std::optional<CallAnswer> m_answer;
    /// True when the answer's text does not continue what was published; the
    /// reader has to start again with the whole answer.
    bool m_diverged = false;
  };

  explicit RequestEntry(Digest content) : m_content(std::move(content)) {}

  /// Digest of the request; another body under the same id is an error.
  auto content() const -> const Digest& { return m_content; }

  /// Text that one local attempt generated.
  auto AddAttemptText(const AttemptId& attempt, std::string_view text) -> void;

  /// Begins to take text from another host. Returns the number that AddText
  /// needs and the offset to ask for; earlier forwards become void.
  auto BeginForward() -> std::pair<std::int64_t, std::uint64_t>;
  auto AddForwardText(std::int64_t forward, std::string_view text) -> void;

  /// Ends the request; later calls have no effect. @p text is the whole
  /// generated text of the answer.
  auto Finish(const CallAnswer& answer, std::string_view text) -> void;
  auto finished() const -> bool;
  auto answer() const -> std::optional<CallAnswer>;
  /// Bytes of text and answer kept here.
  auto size() const -> std::size_t;

  /// Waits until there is text after @p offset or the answer, at most for
  /// @p limit. An empty piece means that the limit passed.
  auto Read(std::uint64_t offset, Duration limit) -> Piece;

  /// Gives text after @p offset and the answer to @p sink, now and as they
  /// come. The sink must not block. Returns a number for RemoveListener.
  auto AddListener(std::uint64_t offset, CallSink sink) -> std::int64_t;
  auto RemoveListener(std::int64_t listener) -> void;

 private:
  struct Listener {
    CallSink m_sink;
    std::uint64_t m_offset = 0;
  };

  auto Publish(std::string_view text) -> void;
  auto Serve(Listener& listener) -> void;

  const Digest m_content;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_text;
  std::map<AttemptId, std::string> m_attempts;
  std::optional<AttemptId> m_last_attempt;
  std::int64_t m_forward = 0;
  std::optional<CallAnswer> m_answer;
  bool m_diverged = false;
  std::map<std::int64_t, Listener> m_listeners;
  std::int64_t m_next_listener = 1;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_REQUEST_ENTRY_H_
