#include "call/endpoint_probe.h"

#include <memory>
#include <utility>

#include "dotterelshed/http_message.h"
#include "platform/health_probe.h"

namespace dotterelshed {

namespace {

/// An older idle connection may be closing at the other end.
constexpr Duration kMaxIdle = std::chrono::milliseconds(1000);

struct Probe : public std::enable_shared_from_this<Probe> {
  explicit Probe(EntryContext& context)
      : m_context(context),
        m_pool(context.m_endpoint_connections),
        m_timer(context.m_loop) {}

  EntryContext& m_context;
  ConnectionPool& m_pool;
  EndpointId m_endpoint;
  boost::asio::steady_timer m_timer;
  std::string m_address;
  std::shared_ptr<ClientConnection> m_connection;
  std::function<void(bool)> m_done;

  auto Begin(Duration timeout) -> void {
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->Finish(false);
          }
        });
    m_context.m_connect_endpoint(
        m_endpoint, m_address, kMaxIdle,
        [self =
             shared_from_this()](std::shared_ptr<ClientConnection> connection) {
          self->OnConnection(std::move(connection));
        });
  }

  auto OnConnection(std::shared_ptr<ClientConnection> connection) -> void {
    if (!connection || !m_done) {
      if (connection) {
        m_pool.Release(m_address, connection, std::nullopt);
      }
      Finish(false);
      return;
    }
    m_connection = std::move(connection);
    const auto self = shared_from_this();
    m_connection->Exchange(
        FormatRequest("GET", kHealthPath, {{"Host", m_address}}, ""), false,
        {.m_on_head = [](ResponseHead& /*head*/) { return HeadVerdict::kTake; },
         .m_on_body = [](std::string_view /*bytes*/) {},
         .m_on_done = [self] { self->Finish(true); },
         .m_on_failure =
             [self](ExchangeFailure /*failure*/) { self->Finish(false); }});
  }

  auto Finish(bool answered) -> void {
    const auto done = std::exchange(m_done, nullptr);
    if (!done) {
      return;
    }
    m_timer.cancel();
    if (const auto connection = std::exchange(m_connection, nullptr)) {
      m_pool.Release(m_address, connection, std::nullopt);
    }
    done(answered);
  }
};

}  // namespace

auto ProbeEndpoint(EntryContext& context,
                   const EndpointId& endpoint,
                   const std::string& address,
                   Duration timeout,
                   std::function<void(bool)> done) -> void {
  const auto probe = std::make_shared<Probe>(context);
  probe->m_endpoint = endpoint;
  probe->m_address = address;
  probe->m_done = std::move(done);
  probe->Begin(timeout);
}

}  // namespace dotterelshed
