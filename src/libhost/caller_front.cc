#include "caller_front.h"

#include <httplib.h>

#include <charconv>
#include <utility>

#include "answer_writer.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "program_ids.h"
#include "timer_queue.h"

namespace dotterelshed::pvt {

namespace {

/// The core ends each call by its deadline; waiting goes on a little longer.
constexpr Duration kDeadlineSlack = std::chrono::seconds(5);
/// Longest wait of a request that asks again for an answer.
constexpr Duration kAskLimit = std::chrono::minutes(10);
/// A stream without text shows a comment line this often, so that both ends
/// notice a dead connection.
constexpr Duration kStreamKeepAlive = std::chrono::seconds(1);

constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

constexpr auto kJson = "application/json";
constexpr auto kEventStream = "text/event-stream";

auto Refuse(httplib::Response& response,
            int status,
            ReasonCode reason,
            const std::string& message) -> void {
  response.status = status;
  response.set_header("X-Dotterelshed-Outcome", "not_run");
  response.set_header("X-Dotterelshed-Reason", std::string(ToString(reason)));
  if (status == kTooMany || status == kUnavailable) {
    response.set_header("Retry-After", "1");
  }
  response.set_content(
      ErrorBody(reason, OutcomeKind::kNotRun, message, RequestId()), kJson);
  CountMetric(MetricId::kRefusals, ToString(reason));
}

/// Counts one open request while it lives.
class OpenCounter {
 public:
  explicit OpenCounter(std::atomic<int>& open) : m_open(open) {
    Show(++m_open);
  }
  OpenCounter(const OpenCounter&) = delete;
  auto operator=(const OpenCounter&) -> OpenCounter& = delete;
  ~OpenCounter() { Show(--m_open); }

 private:
  static auto Show(int open) -> void {
    SetMetric(MetricId::kOpenRequests, open);
  }
  std::atomic<int>& m_open;
};

auto UnknownAnswer(const RequestId& request) -> CallAnswer {
  return {.m_request = request,
          .m_outcome = OutcomeKind::kUnknown,
          .m_reason = ReasonCode::kTimedOut,
          .m_message = "no answer by the deadline; ask again by request id"};
}

auto ParseOffset(const httplib::Request& request) -> std::uint64_t {
  const auto text = request.get_param_value("offset");
  std::uint64_t offset = 0;
  std::from_chars(text.data(), text.data() + text.size(), offset);
  return offset;
}

/// Position of a stream's reader.
struct StreamState {
  RequestEntryPtr m_entry;
  std::uint64_t m_offset = 0;
  RequestId m_request;
  std::string m_model;
  TimePoint m_deadline;
  std::string m_secret;
};

auto Send(httplib::DataSink& sink, const std::string& data) -> bool {
  return sink.write(data.data(), data.size());
}

/// Sends what there is next. Returns false when the stream has ended.
auto SendNext(StreamState& state, httplib::DataSink& sink) -> bool {
  auto piece = state.m_entry->Read(state.m_offset, kStreamKeepAlive);
  if (!piece.m_answer && SteadyTime() > state.m_deadline) {
    piece.m_answer = UnknownAnswer(state.m_request);
  }
  const auto whole =
      piece.m_answer ? piece.m_text.size() : CompleteUtf8Length(piece.m_text);
  if (whole > 0 && !piece.m_diverged) {
    piece.m_text.resize(whole);
    state.m_offset += whole;
    if (!Send(sink, TextEvent(state.m_request, state.m_model, piece.m_text))) {
      return false;
    }
  }
  if (piece.m_answer) {
    Send(sink, FinalEvents(*piece.m_answer, state.m_model, piece.m_diverged,
                           state.m_secret));
    sink.done();
    return true;
  }
  return whole > 0 || Send(sink, ": waiting\n\n");
}

}  // namespace

/// Holds one of an account's places on this host, if there was one.
class CallerFront::AccountSlot {
 public:
  AccountSlot(CallerFront& front, AccountId account, int limit)
      : m_front(front), m_account(std::move(account)) {
    const std::lock_guard lock(m_front.m_accounts_mutex);
    auto& open = m_front.m_accounts[m_account];
    m_taken = open < limit;
    open += m_taken ? 1 : 0;
  }
  AccountSlot(const AccountSlot&) = delete;
  auto operator=(const AccountSlot&) -> AccountSlot& = delete;
  ~AccountSlot() {
    const std::lock_guard lock(m_front.m_accounts_mutex);
    const auto found = m_front.m_accounts.find(m_account);
    if (found == m_front.m_accounts.end()) {
      return;
    }
    found->second -= m_taken ? 1 : 0;
    if (found->second == 0) {
      m_front.m_accounts.erase(found);
    }
  }
  auto taken() const -> bool { return m_taken; }

 private:
  CallerFront& m_front;
  AccountId m_account;
  bool m_taken = false;
};

auto CallerFront::AddRoutes(httplib::Server& server) -> void {
  server.Post("/v1/chat/completions",
              [this](const auto& request, auto& response) {
                HandleCall(request, response, &ParseCompletion, {}, {});
              });
  const auto service_call = [this](const httplib::Request& request,
                                   httplib::Response& response) {
    HandleCall(request, response, &ParseServiceCall,
               ServiceId(request.matches[1]), request.matches[2]);
  };
  server.Post(R"(/v1/services/([^/]+)(/.*)?)", service_call);
  server.Get(R"(/v1/requests/(.+))",
             [this](const auto& request, auto& response) {
               HandleAsk(request, response);
             });
  server.Delete(R"(/v1/programs/(.+))",
                [this](const auto& request, auto& response) {
                  HandleEnd(request, response);
                });
}

auto CallerFront::HandleCall(const httplib::Request& request,
                             httplib::Response& response,
                             Parse parse,
                             ServiceId service,
                             std::string path) -> void {
  const OpenCounter counter(m_open);
  if (m_open > m_settings.m_max_open_requests) {
    Refuse(response, kUnavailable, ReasonCode::kOverLimit,
           "this host has too many open requests");
    return;
  }
  const auto config = m_core.Config();
  if (!config) {
    Refuse(response, kUnavailable, ReasonCode::kNotOwner,
           "this host has no configuration yet");
    return;
  }
  const CallerInput input{.m_header =
                              [&request](const std::string& name) {
                                return request.get_header_value(name);
                              },
                          .m_body = request.body,
                          .m_service = std::move(service),
                          .m_path = std::move(path)};
  const auto arrived = SteadyTime();
  const auto call = parse(input, {.m_config = *config,
                                  .m_domain = m_settings.m_domain,
                                  .m_token_secret = m_settings.m_token_secret,
                                  .m_now = arrived});
  if (!call) {
    Refuse(response, call.error().m_http_status, call.error().m_reason,
           call.error().m_message);
    return;
  }
  const auto& account = config->m_accounts.at(call->m_account);
  const auto slot = std::make_shared<AccountSlot>(*this, call->m_account,
                                                  account.m_max_concurrent);
  if (!slot->taken()) {
    Refuse(response, kTooMany, ReasonCode::kOverLimit,
           "the account has too many open requests");
    return;
  }
  const auto entry = m_router.Submit(*call);
  if (!entry) {
    Refuse(response, kConflict, ReasonCode::kBadRequest,
           entry.error().m_message);
    return;
  }
  const auto deadline = call->m_deadline + kDeadlineSlack;
  if (call->m_stream) {
    Stream(*entry, 0, call->m_request, call->m_model.value(), deadline,
           response, slot);
  } else {
    WriteAnswer(WaitAnswer(*entry, call->m_request, deadline), response);
  }
  ObserveMetric(MetricId::kCallSeconds, call->m_service.value(),
                SteadyTime() - arrived);
}

auto CallerFront::Stream(const RequestEntryPtr& entry,
                         std::uint64_t offset,
                         const RequestId& request,
                         const std::string& model,
                         TimePoint deadline,
                         httplib::Response& response,
                         const std::shared_ptr<AccountSlot>& slot) -> void {
  // A call that ends at once without text gets a status of its own. One that
  // waits longer gets its headers, so that nobody gives it up for dead.
  const auto first = entry->Read(offset, kStreamKeepAlive);
  if (first.m_text.empty() && first.m_answer &&
      first.m_answer->m_outcome != OutcomeKind::kDone) {
    WriteAnswer(*first.m_answer, response);
    return;
  }
  const auto state = std::make_shared<StreamState>(
      StreamState{.m_entry = entry,
                  .m_offset = offset,
                  .m_request = request,
                  .m_model = model,
                  .m_deadline = deadline,
                  .m_secret = m_settings.m_token_secret});
  response.set_header("X-Dotterelshed-Request", request.value());
  response.set_header("Cache-Control", "no-store");
  // The request stays counted until the stream has ended.
  const auto counter = std::make_shared<OpenCounter>(m_open);
  response.set_chunked_content_provider(
      kEventStream,
      [state, counter, slot](std::size_t, httplib::DataSink& sink) {
        return SendNext(*state, sink);
      });
}

auto CallerFront::WaitAnswer(const RequestEntryPtr& entry,
                             const RequestId& request,
                             TimePoint deadline) -> CallAnswer {
  while (true) {
    // Reading from the end on waits for the answer, not for text.
    const auto left = deadline - SteadyTime();
    if (left <= Duration(0)) {
      return UnknownAnswer(request);
    }
    constexpr auto kPastAnyText = ~std::uint64_t{0};
    auto piece = entry->Read(kPastAnyText, left);
    if (piece.m_answer) {
      return *piece.m_answer;
    }
  }
}

auto CallerFront::WriteAnswer(const CallAnswer& answer,
                              httplib::Response& response) const -> void {
  response.status = HttpStatus(answer);
  for (const auto& [name, value] :
       AnswerHeaders(answer, m_settings.m_token_secret)) {
    response.set_header(name, value);
  }
  response.set_content(AnswerBody(answer), kJson);
  CountMetric(MetricId::kCalls, ToString(answer.m_outcome));
  if (answer.m_reason != ReasonCode::kNone) {
    CountMetric(MetricId::kRefusals, ToString(answer.m_reason));
  }
}

auto CallerFront::HandleAsk(const httplib::Request& request,
                            httplib::Response& response) -> void {
  const OpenCounter counter(m_open);
  const RequestId id(request.matches[1]);
  const auto programs = FindPrograms(request, id);
  if (programs.empty()) {
    Refuse(response, kBadRequest, ReasonCode::kBadRequest,
           "name the request's program in X-Dotterelshed-Program, or send the "
           "Authorization header that the request had");
    return;
  }
  const auto deadline = SteadyTime() + kAskLimit;
  const auto entry = AskEach(id, programs, deadline);
  if (request.has_param("offset")) {
    Stream(entry, ParseOffset(request), id, "", deadline, response, nullptr);
  } else {
    auto answer = WaitAnswer(entry, id, deadline);
    answer.m_request = id;
    WriteAnswer(answer, response);
  }
}

auto CallerFront::FindPrograms(const httplib::Request& request,
                               const RequestId& id) -> std::vector<ProgramId> {
  const ProgramId named(request.get_header_value("X-Dotterelshed-Program"));
  if (!named.empty()) {
    return {named};
  }
  const auto carried = ProgramOf(id);
  if (!carried.empty()) {
    return {carried};
  }
  const auto config = m_core.Config();
  if (!config) {
    return {};
  }
  const auto account =
      ParseAccount(request.get_header_value("Authorization"), *config);
  if (!account) {
    return {};
  }
  return ProgramsOfRequest(id, *account, *config, m_settings.m_domain);
}

auto CallerFront::AskEach(const RequestId& id,
                          const std::vector<ProgramId>& programs,
                          TimePoint deadline) -> RequestEntryPtr {
  RequestEntryPtr best;
  for (const auto& program : programs) {
    auto entry = m_router.Ask(id, program);
    const auto first = entry->Read(0, deadline - SteadyTime());
    const auto found =
        !first.m_answer || first.m_answer->m_reason == ReasonCode::kNone;
    if (found) {
      return entry;
    }
    // An unreachable home is worse news than a missing record.
    const auto no_record = first.m_answer->m_reason == ReasonCode::kNoRecord;
    if (!best || !no_record) {
      best = entry;
    }
  }
  return best;
}

auto CallerFront::HandleEnd(const httplib::Request& request,
                            httplib::Response& response) -> void {
  const ProgramId program(request.matches[1]);
  if (!IsProgramId(program)) {
    Refuse(response, kBadRequest, ReasonCode::kBadRequest,
           "'" + program.value() + "' is no program id");
    return;
  }
  m_router.EndProgram(program);
  response.status = kAccepted;
  response.set_content("{}", kJson);
}

}  // namespace dotterelshed::pvt
