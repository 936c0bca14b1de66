#include "relay/relay_service.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "dotterelshed/http_status.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "dotterelshed/tcp_connector.h"
#include "relay/relay_messages.h"

namespace dotterelshed {

namespace {

/// Attempts of other hosts that are passed on at a time; each takes two
/// descriptors.
constexpr int kMaxPassages = 64;
/// A host whose event loop is later than this has enough to do.
constexpr Duration kMaxLoopDelay = std::chrono::milliseconds(100);
/// Added to the longest time that a request may take: its attempt is over then,
/// whether or not the asking host is still there.
constexpr Duration kPassageMargin = std::chrono::seconds(1);
/// Bytes kept for a slow reader before the sender has to wait.
constexpr std::size_t kMaxBufferedBytes = 131072;

auto LongestTimeout(const RouteTable* routes) -> Duration {
  Duration longest{0};
  if (routes != nullptr) {
    for (const auto& route : routes->m_routes) {
      longest = std::max(longest, route.m_timeout);
    }
  }
  return longest;
}

}  // namespace

/// One attempt: a caller's connection and one to the endpoint. An end of either
/// ends the other, in order only if the endpoint ended in order.
class RelayService::Passage : public std::enable_shared_from_this<Passage> {
 public:
  /// @param open  Number of passages.
  Passage(EventLoop& loop,
          std::shared_ptr<int> open,
          std::shared_ptr<ServerConnection> caller)
      : m_open(std::move(open)),
        m_caller(std::move(caller)),
        m_connector(std::make_shared<TcpConnector>(loop)),
        m_timer(loop) {
    ++*m_open;
  }
  ~Passage() { --*m_open; }
  Passage(const Passage&) = delete;
  auto operator=(const Passage&) -> Passage& = delete;

  /// @param limit  Time after which both connections are ended.
  auto Start(const TcpAddress& address, Duration limit) -> void {
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (!error && self) {
            self->m_caller->Abort();
            self->OnGone();
          }
        });
    m_caller->SetGoneHandler([self = shared_from_this()] { self->OnGone(); });
    m_connector->Connect(
        address, {},
        [self = shared_from_this()](std::optional<TcpSocket> socket) {
          self->OnConnected(std::move(socket));
        });
  }

 private:
  auto OnConnected(std::optional<TcpSocket> socket) -> void {
    CountMetric(MetricId::kRelayPassages, socket ? "opened" : "unreachable");
    if (!socket) {
      m_caller->Answer(kStatusBadGateway, {}, "");
      return;
    }
    m_endpoint = std::make_shared<ByteStream>(std::move(*socket));
    const auto self = shared_from_this();
    m_endpoint->Start(
        {.m_on_bytes =
             [self](std::string_view bytes) { self->OnEndpointBytes(bytes); },
         .m_on_end = [self](StreamEnd end) { self->OnEndpointEnd(end); },
         .m_on_drained = [self] { self->m_caller->SetReading(true); }});
    m_caller->SetDrainedHandler([self] { self->m_endpoint->SetReading(true); });
    m_caller->BeginAnswer(kStatusOk, "", {}, std::nullopt);
    m_caller->PassBytesTo(
        [self](std::string_view bytes) { self->OnCallerBytes(bytes); });
  }

  auto OnCallerBytes(std::string_view bytes) -> void {
    m_endpoint->Write(bytes);
    if (m_endpoint->pending_bytes() > kMaxBufferedBytes) {
      m_caller->SetReading(false);
    }
  }

  auto OnEndpointBytes(std::string_view bytes) -> void {
    m_caller->SendBody(bytes);
    if (m_caller->pending_bytes() > kMaxBufferedBytes) {
      m_endpoint->SetReading(false);
    }
  }

  auto OnEndpointEnd(StreamEnd end) -> void {
    if (end == StreamEnd::kClosed) {
      m_caller->EndAnswer();
    } else {
      m_caller->Abort();
    }
  }

  /// The asking host has gone: the endpoint must not go on.
  auto OnGone() -> void {
    m_connector->Cancel();
    if (m_endpoint) {
      m_endpoint->Close();
    }
  }

  std::shared_ptr<int> m_open;
  std::shared_ptr<ServerConnection> m_caller;
  std::shared_ptr<TcpConnector> m_connector;
  std::shared_ptr<ByteStream> m_endpoint;
  boost::asio::steady_timer m_timer;
};

auto RelayService::available() const -> bool {
  return !m_stopped && !m_context.m_endpoint_link.m_lost &&
         *m_open < kMaxPassages && m_context.m_loop_delay < kMaxLoopDelay;
}

auto RelayService::IsListed(const std::string& address) const -> bool {
  const auto& entries = m_context.m_directory.m_entries;
  return std::any_of(entries.begin(), entries.end(),
                     [&address](const auto& item) {
                       return item.second.m_address == address;
                     });
}

auto RelayService::Handle(const std::shared_ptr<ServerConnection>& connection,
                          const IncomingRequest& request) -> void {
  const auto asked = DecodeRelayRequest(request.m_body);
  const auto address = asked.and_then([](const RelayRequest& message) {
    return ParseTcpAddress(message.m_endpoint_address);
  });
  if (!address) {
    connection->Answer(kStatusBadRequest, {}, address.error().m_message);
    return;
  }
  if (!available()) {
    CountMetric(MetricId::kRelayPassages, "refused");
    connection->Answer(kStatusUnavailable, {}, "");
    return;
  }
  if (!IsListed(asked->m_endpoint_address)) {
    CountMetric(MetricId::kRelayPassages, "unlisted");
    connection->Answer(kStatusBadGateway, {}, "");
    return;
  }
  std::make_shared<Passage>(m_context.m_loop, m_open, connection)
      ->Start(*address,
              LongestTimeout(m_context.m_routes.get()) + kPassageMargin);
}

auto RelayService::HandleListRequest(
    const std::shared_ptr<ServerConnection>& connection) -> void {
  auto addresses = PickRelays(m_context.m_relay_directory, kMaxRelaysNamed,
                              SteadyTime(), m_context.m_random);
  if (addresses.empty() && available()) {
    addresses.push_back(m_context.m_settings.m_peer_address);
  }
  connection->Answer(kStatusOk, {}, EncodeRelays(addresses));
}

}  // namespace dotterelshed
