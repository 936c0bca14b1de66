#include "callers.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "after.h"
#include "dotterelshed/http_message.h"
#include "dotterelshed/steady_time.h"
#include "service_standins.h"

namespace dotterelshed::soak {

namespace {

constexpr int kMostOfTurn = 30;
constexpr Duration kDeadline = std::chrono::milliseconds(2500);
constexpr Duration kPause = std::chrono::milliseconds(15);
constexpr Duration kRetryPause = std::chrono::milliseconds(250);
constexpr int kMaxTries = 3;
/// Maximum length of a pause of callers that keep connections, and number of
/// calls of which one follows a pause.
constexpr int kMaxPauseMs = 3500;
constexpr int kCallsPerPause = 6;

auto TargetOf(CallKind kind, std::mt19937& random) -> std::string {
  switch (kind) {
    case CallKind::kSafe:
      return random() % 3 == 0 ? "/flip/x" : "/safe/x";
    case CallKind::kUnsafe:
      return "/unsafe/x";
    case CallKind::kTurn:
      return "/turn/x";
  }
  return "/";
}

/// Timeout that an answer announces in Keep-Alive, if any.
auto KeepAliveTimeout(const ResponseHead& head) -> std::optional<Duration> {
  constexpr std::string_view kTimeout = "timeout=";
  const auto text = FieldText(head.m_fields, "keep-alive");
  int seconds = 0;
  if (!text.starts_with(kTimeout)) {
    return std::nullopt;
  }
  std::from_chars(text.data() + kTimeout.size(), text.data() + text.size(),
                  seconds);
  return std::chrono::seconds(seconds);
}

auto CountEvents(const std::string& body) -> int {
  int events = 0;
  for (auto at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 1)) {
    ++events;
  }
  return events;
}

}  // namespace

/// A call until its result has been taken.
struct Caller::Open {
  SentCall m_sent;
  CallResult m_result;
  std::string m_request;
  std::shared_ptr<ClientConnection> m_connection;
  std::unique_ptr<boost::asio::steady_timer> m_timer;
  std::optional<Duration> m_keep_alive;
  int m_tries = 0;
  bool m_over = false;
};

Caller::Caller(EventLoop& loop,
               Promises& promises,
               const std::vector<Door>& doors,
               std::string name,
               std::string domain,
               unsigned seed,
               CallerOptions options,
               OnCallEnded ended)
    : m_loop(loop),
      m_promises(promises),
      m_doors(doors),
      m_name(std::move(name)),
      m_domain(std::move(domain)),
      m_random(seed),
      m_options(options),
      m_ended(std::move(ended)) {}

auto Caller::BeginProgram() -> void {
  if (m_stopped) {
    return;
  }
  m_program = m_name + "-p" + std::to_string(++m_programs);
  // Some loop until their budget is spent.
  const auto loops = m_random() % 5 == 0;
  const auto turns = 1 + static_cast<int>(m_random() % 5);
  m_budget = turns * kMostOfTurn + static_cast<int>(m_random() % 20);
  m_steps_left = loops ? 24 : turns * 2;
  m_promises.SetLimit(m_program, m_budget + kMostOfTurn);
  Next();
}

auto Caller::Next() -> void {
  if (--m_steps_left < 0 || m_stopped) {
    After(m_loop, kPause,
          [self = shared_from_this()] { self->BeginProgram(); });
    return;
  }
  if (m_steps_left % 2 == 1) {
    Send(CallKind::kTurn, 0);
  } else {
    Send(m_random() % 2 == 0 ? CallKind::kUnsafe : CallKind::kSafe, 0);
  }
}

/// A host of the own domain, mostly; retries reach others.
auto Caller::PickDoor() -> const Door& {
  if (m_options.m_keeps_connections && MayUseKept()) {
    return *std::find_if(
        m_doors.begin(), m_doors.end(),
        [this](const Door& door) { return door.m_host == m_kept_host; });
  }
  const auto anywhere = m_random() % 5 == 0;
  for (;;) {
    const auto& door = m_doors[m_random() % m_doors.size()];
    if (anywhere || door.m_domain == m_domain) {
      return door;
    }
  }
}

auto Caller::MayUseKept() const -> bool {
  return m_kept && m_kept->reusable() && SteadyTime() < m_kept_until;
}

auto Caller::DrawPause() -> Duration {
  const auto pauses =
      m_options.m_keeps_connections && m_random() % kCallsPerPause == 0;
  return pauses ? std::chrono::milliseconds(m_random() % kMaxPauseMs) : kPause;
}

auto Caller::Send(CallKind kind, int tries) -> void {
  const auto& door = PickDoor();
  auto call = std::make_shared<Open>();
  call->m_tries = tries;
  call->m_sent = {.m_id = m_name + "-" + std::to_string(++m_calls),
                  .m_kind = kind,
                  .m_program = m_program};
  HttpFields fields{
      {"Host", "desk"},           {"Request-Id", call->m_sent.m_id},
      {"Program-Id", m_program},  {"Session-Id", m_program},
      {"Soak-Host", door.m_host}, {"Deadline-Ms", "2500"}};
  if (kind == CallKind::kTurn) {
    fields.push_back({"Token-Budget", std::to_string(m_budget)});
    fields.push_back({"Token-Counts", "100," + std::to_string(kMostOfTurn)});
  }
  const auto* method = kind == CallKind::kSafe ? "GET" : "POST";
  call->m_request = FormatRequest(method, TargetOf(kind, m_random), fields, "");
  m_promises.OnSent(call->m_sent);
  call->m_timer =
      std::make_unique<boost::asio::steady_timer>(m_loop, kDeadline);
  call->m_timer->async_wait([self = shared_from_this(),
                             call](const boost::system::error_code& error) {
    if (!error) {
      self->Finish(call);
    }
  });
  call->m_result.m_request = call->m_sent.m_id;
  call->m_result.m_host = door.m_host;
  if (MayUseKept() && m_kept_host == door.m_host) {
    call->m_connection = std::exchange(m_kept, nullptr);
    Exchange(call);
    return;
  }
  m_kept_host = door.m_host;
  call->m_connection = std::make_shared<ClientConnection>(m_loop);
  call->m_connection->Connect(
      door.m_address, {.m_timeout = std::chrono::seconds(1)},
      [self = shared_from_this(), call](bool connected) {
        if (connected && !call->m_over) {
          self->Exchange(call);
        } else {
          self->Finish(call);
        }
      });
}

auto Caller::Exchange(const std::shared_ptr<Open>& call) -> void {
  const auto self = shared_from_this();
  call->m_connection->Exchange(
      call->m_request, false,
      {.m_on_head =
           [call](ResponseHead& head) {
             call->m_result.m_status = head.m_status;
             call->m_keep_alive = KeepAliveTimeout(head);
             call->m_result.m_signed =
                 FindField(head.m_fields, "response-signature") != nullptr;
             const auto* id = FindField(head.m_fields, "request-id");
             if (call->m_result.m_signed &&
                 (id == nullptr || *id != call->m_sent.m_id)) {
               call->m_result.m_body = "an answer to another request";
             }
             return HeadVerdict::kTake;
           },
       .m_on_body =
           [call](std::string_view bytes) { call->m_result.m_body += bytes; },
       .m_on_done =
           [self, call] {
             call->m_result.m_whole = true;
             self->Finish(call);
           },
       .m_on_failure =
           [self, call](ExchangeFailure /*failure*/) {
             call->m_result.m_cut = !call->m_over;
             call->m_result.m_requests_before =
                 call->m_connection->exchanges() - 1;
             self->Finish(call);
           }});
}

auto Caller::Finish(const std::shared_ptr<Open>& call) -> void {
  if (std::exchange(call->m_over, true)) {
    return;
  }
  call->m_timer->cancel();
  auto& result = call->m_result;
  const auto& sent = call->m_sent;
  const auto turn = sent.m_kind == CallKind::kTurn;
  result.m_events = turn ? CountEvents(result.m_body) : 0;
  m_promises.OnResult(sent.m_id, result,
                      turn ? AllEvents(sent.m_id) : PlainBody(sent.m_id));
  m_ended(result);
  if (result.m_whole && call->m_connection->reusable()) {
    m_kept = call->m_connection;
    m_kept_until = call->m_keep_alive ? SteadyTime() + *call->m_keep_alive
                                      : TimePoint::max();
  } else {
    call->m_connection->Close();
  }
  const auto again = result.m_status == 503 && call->m_tries + 1 < kMaxTries;
  if (again) {
    After(m_loop, kRetryPause,
          [self = shared_from_this(), kind = sent.m_kind,
           tries = call->m_tries + 1] { self->Send(kind, tries); });
  } else if (result.m_status == 402) {
    After(m_loop, kPause,
          [self = shared_from_this()] { self->BeginProgram(); });
  } else {
    After(m_loop, DrawPause(), [self = shared_from_this()] { self->Next(); });
  }
}

}  // namespace dotterelshed::soak
