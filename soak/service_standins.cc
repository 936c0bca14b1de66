#include "service_standins.h"

#include <utility>

#include "after.h"

namespace dotterelshed::soak {

namespace {

constexpr int kLeastEvents = 4;
constexpr int kMoreEvents = 6;
constexpr Duration kEventGap = std::chrono::milliseconds(30);
constexpr Duration kPlainWork = std::chrono::milliseconds(60);

auto EventCount(const std::string& request) -> int {
  return kLeastEvents +
         static_cast<int>(std::hash<std::string>{}(request) % kMoreEvents);
}

auto MakeEvent(const std::string& request, int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: " + request + "\n\n";
}

}  // namespace

auto AllEvents(const std::string& request) -> std::string {
  std::string text;
  for (int id = 1; id <= EventCount(request); ++id) {
    text += MakeEvent(request, id);
  }
  return text;
}

auto PlainBody(const std::string& request) -> std::string {
  return "done " + request;
}

Endpoint::Endpoint(EventLoop& loop,
                   std::string id,
                   std::string service,
                   unsigned seed,
                   OnRun on_run)
    : m_loop(loop),
      m_id(std::move(id)),
      m_service(std::move(service)),
      m_random(seed),
      m_on_run(std::move(on_run)),
      m_listener(loop,
                 [this](const std::shared_ptr<ServerConnection>& connection,
                        const IncomingRequest& request) {
                   OnRequest(connection, request);
                 }) {
  const auto listening =
      m_listener.Listen({boost::asio::ip::address_v4::loopback(), 0});
  DOTTERELSHED_CHECK(listening.has_value());
  m_link = std::make_unique<LoopbackProxy>(loop, m_listener.local_address());
}

auto Endpoint::Crash(Duration down, std::function<void()> back) -> void {
  m_link->SetState(LinkState::kRefuse);
  m_link->ResetAll();
  After(m_loop, down, [this, back = std::move(back)] {
    m_link->SetState(LinkState::kOpen);
    back();
  });
}

auto Endpoint::Loses() -> bool {
  return m_lose_one_in > 0 && m_random() % m_lose_one_in == 0;
}

auto Endpoint::OnRequest(const std::shared_ptr<ServerConnection>& connection,
                         const IncomingRequest& request) -> void {
  const auto& fields = request.m_head.m_fields;
  const auto id = FieldText(fields, "request-id");
  const HttpFields head{{"Request-Id", id}, {"Response-Signature", m_id}};
  if (FieldText(fields, "expect-instance") != m_id) {
    connection->Answer(421, {{"Request-Id", id}, {"Not-Executed", "1"}}, "");
    return;
  }
  const auto poison = request.m_body == kPoisonBody;
  m_on_run({.m_request = id,
            .m_target = request.m_head.m_target,
            .m_host = FieldText(fields, "soak-host"),
            .m_service = m_service,
            .m_endpoint = m_id,
            .m_poison = poison});
  if (poison) {
    return;
  }
  if (m_service == "engine") {
    const auto last = FieldText(fields, "last-event-id");
    After(m_loop, kEventGap, [this, connection, id, head, last] {
      connection->BeginAnswer(200, "OK", head, std::nullopt);
      Stream(connection, id, last.empty() ? 1 : std::stoi(last) + 1);
    });
    return;
  }
  After(m_loop, kPlainWork, [this, connection, id, head] {
    if (Loses()) {
      connection->Abort();
    } else {
      connection->Answer(200, head, PlainBody(id));
    }
  });
}

auto Endpoint::Stream(const std::shared_ptr<ServerConnection>& connection,
                      const std::string& request,
                      int next) -> void {
  if (next > EventCount(request)) {
    connection->EndAnswer();
    return;
  }
  if (Loses()) {
    connection->Abort();
    return;
  }
  connection->SendBody(MakeEvent(request, next));
  After(m_loop, kEventGap, [this, connection, request, next] {
    Stream(connection, request, next + 1);
  });
}

}  // namespace dotterelshed::soak
