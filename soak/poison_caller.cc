#include "poison_caller.h"

#include <utility>

#include "after.h"
#include "dotterelshed/http_message.h"
#include "service_standins.h"

namespace dotterelshed::soak {

namespace {

constexpr Duration kPause = std::chrono::milliseconds(200);
constexpr Duration kDeadline = std::chrono::milliseconds(2500);
constexpr int kKinds = 3;

auto TargetOf(CallKind kind) -> std::string {
  switch (kind) {
    case CallKind::kSafe:
      return "/safe/poison";
    case CallKind::kUnsafe:
      return "/unsafe/poison";
    case CallKind::kTurn:
      return "/turn/poison";
  }
  return "/";
}

}  // namespace

/// A call until its result has been taken.
struct PoisonCaller::Open {
  SentCall m_sent;
  CallResult m_result;
  std::string m_request;
  std::shared_ptr<ClientConnection> m_connection;
  std::unique_ptr<boost::asio::steady_timer> m_timer;
  bool m_over = false;
};

PoisonCaller::PoisonCaller(EventLoop& loop,
                           Promises& promises,
                           const std::vector<Door>& doors,
                           unsigned seed)
    : m_loop(loop),
      m_promises(promises),
      m_doors(doors),
      m_random(seed),
      m_kind(static_cast<CallKind>(seed % kKinds)) {}

auto PoisonCaller::Send() -> void {
  if (m_stopped) {
    return;
  }
  const auto& door = m_doors[m_random() % m_doors.size()];
  auto call = std::make_shared<Open>();
  call->m_sent = {.m_id = "poison-" + std::to_string(++m_calls),
                  .m_kind = m_kind};
  call->m_request = FormatRequest("POST", TargetOf(m_kind),
                                  {{"Host", "desk"},
                                   {"Request-Id", call->m_sent.m_id},
                                   {"Session-Id", "poison"},
                                   {"Soak-Host", door.m_host},
                                   {"Deadline-Ms", "2500"}},
                                  std::string(kPoisonBody));
  m_promises.OnSent(call->m_sent);
  const auto self = shared_from_this();
  call->m_timer =
      std::make_unique<boost::asio::steady_timer>(m_loop, kDeadline);
  call->m_timer->async_wait(
      [self, call](const boost::system::error_code& error) {
        if (!error) {
          self->Finish(call);
        }
      });
  call->m_connection = std::make_shared<ClientConnection>(m_loop);
  call->m_connection->Connect(door.m_address,
                              {.m_timeout = std::chrono::seconds(1)},
                              [self, call](bool connected) {
                                if (connected && !call->m_over) {
                                  self->Exchange(call);
                                } else {
                                  self->Finish(call);
                                }
                              });
}

auto PoisonCaller::Exchange(const std::shared_ptr<Open>& call) -> void {
  const auto self = shared_from_this();
  call->m_connection->Exchange(
      call->m_request, false,
      {.m_on_head =
           [call](ResponseHead& head) {
             call->m_result.m_status = head.m_status;
             return HeadVerdict::kTake;
           },
       .m_on_body = [](std::string_view /*bytes*/) {},
       .m_on_done = [self, call] { self->Finish(call); },
       .m_on_failure =
           [self, call](ExchangeFailure /*failure*/) { self->Finish(call); }});
}

auto PoisonCaller::Finish(const std::shared_ptr<Open>& call) -> void {
  if (std::exchange(call->m_over, true)) {
    return;
  }
  call->m_timer->cancel();
  call->m_connection->Close();
  m_promises.OnResult(call->m_sent.m_id, call->m_result, "");
  After(m_loop, kPause, [self = shared_from_this()] { self->Send(); });
}

}  // namespace dotterelshed::soak
