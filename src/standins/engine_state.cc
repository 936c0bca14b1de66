#include "engine_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterelshed::standins {

namespace {

constexpr std::size_t kMaxStreams = 2048;
constexpr std::size_t kMaxCachedPrefixes = 4096;
constexpr std::size_t kMaxRuns = 100000;
constexpr auto kLoadInterval = std::chrono::milliseconds(50);

/// Byte offset of token @p count in the whole text.
auto BytesOf(const FakeAnswer& answer, std::size_t count) -> std::size_t {
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < count; ++i) {
    bytes += answer.m_tokens[i].size();
  }
  return bytes;
}

auto JoinTokens(const FakeAnswer& answer, std::size_t count) -> std::string {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += answer.m_tokens[i];
  }
  return text;
}

}  // namespace

auto Stream::Generated() const -> std::size_t {
  if (m_finished) {
    return m_answer.m_tokens.size();
  }
  return std::min(m_answer.m_tokens.size(),
                  static_cast<std::size_t>(m_progress));
}

EngineState::EngineState(EngineOptions options)
    : m_options(std::move(options)), m_last_advance(Clock::now()) {
  for (const auto& model : m_options.m_models) {
    m_models[model] = Clock::time_point{};
  }
}

auto EngineState::Start(const std::string& attempt,
                        const std::string& program,
                        const std::string& hold,
                        const Json& request) -> std::shared_ptr<Stream> {
  auto stream = std::make_shared<Stream>();
  stream->m_attempt = attempt;
  stream->m_program = program;
  stream->m_hold = hold;
  stream->m_model = request.value("model", "");
  stream->m_answer = MakeAnswer(request);
  stream->m_prefixes = PrefixesOf(request);
  stream->m_prompt_tokens =
      stream->m_prefixes.empty() ? 0 : stream->m_prefixes.back().m_tokens;
  {
    const std::lock_guard lock(m_mutex);
    if (const auto found = m_streams.find(attempt); found != m_streams.end()) {
      return found->second;
    }
    m_streams[attempt] = stream;
    m_stream_order.push_back(attempt);
    if (m_stream_order.size() > kMaxStreams) {
      m_streams.erase(m_stream_order.front());
      m_stream_order.pop_front();
    }
    if (m_runs.size() < kMaxRuns) {
      m_runs.push_back({{"attempt", attempt}, {"program", program}});
    }
    m_waiting.push_back(stream);
  }
  Advance(Clock::now());
  return stream;
}

auto EngineState::Find(const std::string& attempt) -> std::shared_ptr<Stream> {
  const std::lock_guard lock(m_mutex);
  const auto found = m_streams.find(attempt);
  return found == m_streams.end() ? nullptr : found->second;
}

auto EngineState::Cancel(const std::string& attempt) -> bool {
  const std::lock_guard lock(m_mutex);
  const auto found = m_streams.find(attempt);
  if (found == m_streams.end()) {
    return false;
  }
  const auto stream = found->second;
  stream->m_cancelled = true;
  std::erase(m_waiting, stream);
  std::erase(m_running, stream);
  m_changed.notify_all();
  return true;
}

auto EngineState::Read(const Stream& stream,
                       std::size_t offset,
                       std::chrono::milliseconds wait) -> StreamPiece {
  std::unique_lock lock(m_mutex);
  const auto ready = [&] {
    return stream.m_finished || stream.m_cancelled ||
           BytesOf(stream.m_answer, stream.Generated()) > offset;
  };
  m_changed.wait_for(lock, wait, ready);
  StreamPiece piece;
  piece.m_offset = offset;
  piece.m_tokens_so_far = stream.Generated();
  const auto text = JoinTokens(stream.m_answer, piece.m_tokens_so_far);
  piece.m_text = offset < text.size() ? text.substr(offset) : "";
  piece.m_finished = stream.m_finished;
  piece.m_cancelled = stream.m_cancelled;
  return piece;
}

auto EngineState::Advance(Clock::time_point now) -> void {
  const std::lock_guard lock(m_mutex);
  const auto elapsed_s =
      std::chrono::duration<double>(now - m_last_advance).count();
  m_last_advance = std::max(now, m_last_advance);
  const auto step_s = std::max(0.0, elapsed_s) / m_slow_factor;
  for (const auto& stream : m_running) {
    const auto prefill_s = std::min(step_s, stream->m_prefill_left_s);
    stream->m_prefill_left_s -= prefill_s;
    stream->m_progress += (step_s - prefill_s) * m_options.m_token_rate;
  }
  StartWaiting();
  for (const auto& stream : m_running) {
    const auto whole = static_cast<double>(stream->m_answer.m_tokens.size());
    if (stream->m_prefill_left_s <= 0 &&
        (m_options.m_token_rate <= 0 || stream->m_progress >= whole)) {
      FinishStream(*stream);
    }
  }
  std::erase_if(m_running, [](const auto& s) { return s->m_finished; });
  StartWaiting();
  if (m_loads.empty() || now - m_loads.back().first >= kLoadInterval) {
    m_loads.emplace_back(now, Snapshot());
  }
  while (m_loads.size() > 1 && now - m_loads[1].first >= m_options.m_load_lag) {
    m_loads.pop_front();
  }
  m_changed.notify_all();
}

auto EngineState::StartWaiting() -> void {
  while (!m_waiting.empty() &&
         m_running.size() < static_cast<std::size_t>(m_options.m_max_running)) {
    const auto stream = m_waiting.front();
    m_waiting.pop_front();
    stream->m_running = true;
    stream->m_cached_tokens = FindCached(stream->m_prefixes);
    const auto uncached = stream->m_prompt_tokens - stream->m_cached_tokens;
    if (m_options.m_prefill_rate > 0) {
      stream->m_prefill_left_s =
          static_cast<double>(uncached) / m_options.m_prefill_rate;
    }
    m_running.push_back(stream);
  }
}

auto EngineState::FinishStream(Stream& stream) -> void {
  stream.m_finished = true;
  Remember(stream.m_prefixes);
  if (!stream.m_hold.empty()) {
    m_holds[stream.m_hold] = {
        .m_program = stream.m_program,
        .m_tokens = stream.m_prompt_tokens +
                    static_cast<std::int64_t>(stream.m_answer.m_tokens.size()),
        .m_order = ++m_hold_order};
    AddEvent({{"type", "stored"}, {"hold", stream.m_hold}});
  }
  EvictToFit();
}

auto EngineState::FindCached(const std::vector<PromptPrefix>& prefixes)
    -> std::int64_t {
  std::int64_t best = 0;
  for (const auto& prefix : prefixes) {
    for (const auto& cached : m_cache) {
      if (cached.m_digest == prefix.m_digest) {
        best = std::max(best, prefix.m_tokens);
      }
    }
  }
  return best;
}

auto EngineState::Remember(const std::vector<PromptPrefix>& prefixes) -> void {
  for (const auto& prefix : prefixes) {
    m_cache.remove_if(
        [&](const auto& p) { return p.m_digest == prefix.m_digest; });
    m_cache.push_back(prefix);
  }
  while (m_cache.size() > kMaxCachedPrefixes) {
    m_cache.pop_front();
  }
}

auto EngineState::UsedTokens() const -> std::int64_t {
  std::int64_t used = 0;
  for (const auto& [id, hold] : m_holds) {
    used += hold.m_tokens;
  }
  for (const auto& stream : m_running) {
    used += stream->m_prompt_tokens +
            static_cast<std::int64_t>(stream->Generated());
  }
  return used;
}

/// Drops the oldest holds, each with an event, until the rest fits.
auto EngineState::EvictToFit() -> void {
  while (!m_holds.empty() && UsedTokens() > m_options.m_kv_capacity) {
    const auto oldest = std::min_element(
        m_holds.begin(), m_holds.end(), [](const auto& a, const auto& b) {
          return a.second.m_order < b.second.m_order;
        });
    AddEvent({{"type", "evicted"}, {"hold", oldest->first}});
    m_holds.erase(oldest);
  }
}

auto EngineState::AddEvent(Json event) -> void {
  const auto number = m_next_event++;
  if (m_drop_events > 0) {
    --m_drop_events;
    return;
  }
  event["seq"] = number;
  m_events.push_back(
      {.m_number = number, .m_event = std::move(event), .m_at = Clock::now()});
  while (m_events.size() > m_options.m_event_history) {
    m_events.pop_front();
  }
}

auto EngineState::AcceptFence(std::int64_t fence) -> bool {
  const std::lock_guard lock(m_mutex);
  if (m_options.m_checks_fencing && fence < m_highest_fence) {
    return false;
  }
  m_highest_fence = std::max(m_highest_fence, fence);
  return true;
}

auto EngineState::HasModel(const std::string& model) -> bool {
  const std::lock_guard lock(m_mutex);
  if (m_options.m_models.empty()) {
    return true;
  }
  const auto found = m_models.find(model);
  return found != m_models.end() && found->second <= Clock::now();
}

auto EngineState::SetModel(const std::string& model, bool loaded) -> void {
  const std::lock_guard lock(m_mutex);
  if (!loaded) {
    m_models.erase(model);
    return;
  }
  m_models.try_emplace(model, Clock::now() + m_options.m_model_load_time);
}

auto EngineState::SetLeaving(bool leaving) -> void {
  const std::lock_guard lock(m_mutex);
  m_leaving = leaving;
}

auto EngineState::IsLeaving() -> bool {
  const std::lock_guard lock(m_mutex);
  return m_leaving;
}

auto EngineState::SetSlowFactor(double factor) -> void {
  const std::lock_guard lock(m_mutex);
  m_slow_factor = std::max(1.0, factor);
}

auto EngineState::DropEvents(int count) -> void {
  const std::lock_guard lock(m_mutex);
  m_drop_events = count;
}

auto EngineState::Snapshot() const -> Json {
  auto models = Json::array();
  for (const auto& [model, since] : m_models) {
    if (since <= Clock::now()) {
      models.push_back(model);
    }
  }
  return {{"running", m_running.size()},
          {"waiting", m_waiting.size()},
          {"kv_used", UsedTokens()},
          {"kv_capacity", m_options.m_kv_capacity},
          {"models", models},
          {"leaving", m_leaving}};
}

auto EngineState::Load() -> Json {
  const std::lock_guard lock(m_mutex);
  return m_loads.empty() ? Snapshot() : m_loads.front().second;
}

auto EngineState::CacheEventsSince(std::int64_t since) -> Json {
  const std::lock_guard lock(m_mutex);
  const auto visible = Clock::now() - m_options.m_event_lag;
  auto events = Json::array();
  auto next = since;
  auto gap = false;
  for (const auto& event : m_events) {
    if (event.m_number < since || event.m_at > visible) {
      continue;
    }
    gap = gap || event.m_number != next;
    next = event.m_number + 1;
    events.push_back(event.m_event);
  }
  return {{"events", events}, {"next", next}, {"gap", gap}};
}

auto EngineState::Holds() -> Json {
  const std::lock_guard lock(m_mutex);
  auto holds = Json::array();
  for (const auto& [id, hold] : m_holds) {
    holds.push_back(
        {{"id", id}, {"program", hold.m_program}, {"tokens", hold.m_tokens}});
  }
  return {{"holds", holds}};
}

auto EngineState::ReleaseHold(const std::string& hold) -> bool {
  const std::lock_guard lock(m_mutex);
  if (m_holds.erase(hold) == 0) {
    return false;
  }
  AddEvent({{"type", "released"}, {"hold", hold}});
  return true;
}

auto EngineState::Runs() -> Json {
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

}  // namespace dotterelshed::standins
