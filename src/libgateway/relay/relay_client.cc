#include "relay/relay_client.h"

#include <algorithm>
#include <utility>

#include "dotterelshed/http_message.h"
#include "dotterelshed/http_status.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"
#include "relay/relay_directory.h"
#include "relay/relay_messages.h"

namespace dotterelshed {

namespace {

/// Interval at which a host without links asks for relays anew, since hosts
/// come, go and lose their own.
constexpr Duration kAskInterval = std::chrono::seconds(1);
constexpr Duration kAskTimeout = std::chrono::milliseconds(300);
/// With fewer hosts of the own domain, those of others are used as well.
constexpr std::size_t kMinNearRelays = 2;
/// Other hosts that are tried for one connection.
constexpr std::size_t kMaxRelaysTried = 3;
/// A host that didn't pass an attempt on isn't asked again for this time.
constexpr Duration kRelayPause = std::chrono::milliseconds(1000);
/// Time limit of each step of connecting; the relay's own is 250 ms.
constexpr Duration kRelayTimeout = std::chrono::milliseconds(350);

}  // namespace

RelayClient::RelayClient(EntryContext& context)
    : m_context(context),
      m_links(context, [this](bool lost) { OnLinksChanged(lost); }) {}

auto RelayClient::Acquire(const EndpointId& endpoint,
                          const std::string& address,
                          Duration max_idle,
                          AcquireCallback on_acquired) -> void {
  if (m_context.m_endpoint_link.m_lost) {
    Connect(std::make_shared<Pending>(Pending{
        .m_address = address, .m_on_acquired = std::move(on_acquired)}));
    return;
  }
  m_context.m_endpoint_connections.Acquire(
      address, max_idle,
      [this, endpoint, on_acquired = std::move(on_acquired)](
          std::shared_ptr<ClientConnection> connection) {
        OnDirect(endpoint, connection);
        on_acquired(std::move(connection));
      });
}

auto RelayClient::OnDirect(const EndpointId& endpoint,
                           const std::shared_ptr<ClientConnection>& connection)
    -> void {
  if (!connection) {
    NoteNotConnected(m_context.m_endpoint_link, endpoint, SteadyTime());
  } else if (connection->exchanges() == 0) {
    NoteConnected(m_context.m_endpoint_link);
  }
}

auto RelayClient::cut_off() const -> bool {
  return m_context.m_endpoint_link.m_lost && m_relays.empty() &&
         m_unanswered == 0;
}

auto RelayClient::Tick(TimePoint now) -> void {
  m_links.Tick(now);
  if (m_context.m_endpoint_link.m_lost && m_unanswered == 0 &&
      now - m_asked_at >= kAskInterval) {
    AskForRelays(now);
  }
}

auto RelayClient::OnLinksChanged(bool lost) -> void {
  if (lost) {
    AskForRelays(SteadyTime());
  } else {
    m_relays.clear();
  }
}

// Hosts that pass attempts on.

auto RelayClient::AskForRelays(TimePoint now) -> void {
  m_asked_at = now;
  const auto question = ++m_question;
  m_named.clear();
  m_unanswered = 1;
  const auto& settings = m_context.m_settings;
  for (const auto& [domain, lead] : m_context.m_leads) {
    const auto near = domain == settings.m_domain;
    const auto& address = lead.m_entry.m_peer_address;
    if (address == settings.m_peer_address) {
      AddRelays(PickRelays(m_context.m_relay_directory, kMaxRelaysNamed, now,
                           m_context.m_random),
                near);
      continue;
    }
    ++m_unanswered;
    CallPeer(m_context.m_loop, m_context.m_peer_connections, address,
             kRelayListPath, "", kAskTimeout,
             [this, near, question](const Result<std::string>& reply) {
               if (const auto relays = reply.and_then(DecodeRelays)) {
                 AddRelays(*relays, near);
               }
               OnLeadDone(question);
             });
  }
  OnLeadDone(question);
}

auto RelayClient::AddRelays(const std::vector<std::string>& addresses,
                            bool near) -> void {
  for (const auto& address : addresses) {
    if (address != m_context.m_settings.m_peer_address) {
      m_relays[address].m_near = near;
      m_named.insert(address);
    }
  }
}

auto RelayClient::OnLeadDone(int question) -> void {
  if (question != m_question) {
    return;
  }
  --m_unanswered;
  if (m_unanswered == 0 && !m_named.empty()) {
    std::erase_if(m_relays, [this](const auto& item) {
      return !m_named.contains(item.first);
    });
  }
  if (m_unanswered == 0 || !m_relays.empty()) {
    for (const auto& pending : std::exchange(m_waiting, {})) {
      Connect(pending);
    }
  }
}

/// Bytes between domains cost more, so hosts of this one are preferred if there
/// are several.
auto RelayClient::PickRelay(const Pending& pending) -> std::string {
  const auto now = SteadyTime();
  std::vector<std::pair<std::int64_t, std::string>> near;
  std::vector<std::pair<std::int64_t, std::string>> all;
  for (const auto& [address, relay] : m_relays) {
    if (now < relay.m_paused_until || pending.m_tried.contains(address)) {
      continue;
    }
    all.emplace_back(relay.m_last_use, address);
    if (relay.m_near) {
      near.emplace_back(relay.m_last_use, address);
    }
  }
  const auto& from = near.size() >= kMinNearRelays ? near : all;
  const auto first = std::min_element(from.begin(), from.end());
  if (first == from.end()) {
    return {};
  }
  m_relays[first->second].m_last_use = ++m_uses;
  return first->second;
}

auto RelayClient::Connect(const std::shared_ptr<Pending>& pending) -> void {
  if (m_relays.empty() && m_unanswered > 0) {
    m_waiting.push_back(pending);
    return;
  }
  const auto relay = pending->m_tried.size() < kMaxRelaysTried
                         ? PickRelay(*pending)
                         : std::string();
  const auto address = ParseTcpAddress(relay);
  if (!address) {
    CountMetric(MetricId::kRelayedAttempts, "no_relay");
    LogEvent(LogEventId::kRelayFailed,
             {{"address", pending->m_address},
              {"tried", std::to_string(pending->m_tried.size())},
              {"relays", std::to_string(m_relays.size())}});
    pending->m_on_acquired(nullptr);
    return;
  }
  auto connection = std::make_shared<ClientConnection>(m_context.m_loop);
  connection->ConnectThrough(
      *address,
      FormatRequest(
          "POST", kRelayPath, {{"Host", relay}},
          EncodeRelayRequest({.m_endpoint_address = pending->m_address})),
      {.m_timeout = kRelayTimeout},
      [this, pending, relay, connection](int status) {
        OnRelayAnswer(pending, relay, connection, status);
      });
}

auto RelayClient::OnRelayAnswer(
    const std::shared_ptr<Pending>& pending,
    const std::string& relay,
    const std::shared_ptr<ClientConnection>& connection,
    int status) -> void {
  if (status == kStatusOk) {
    CountMetric(MetricId::kRelayedAttempts, "connected");
    pending->m_on_acquired(connection);
    return;
  }
  connection->Close();
  if (status == kStatusBadGateway) {
    // The relay can't reach this endpoint either.
    CountMetric(MetricId::kRelayedAttempts, "unreachable");
    pending->m_on_acquired(nullptr);
    return;
  }
  CountMetric(MetricId::kRelayedAttempts, "refused");
  pending->m_tried.insert(relay);
  if (const auto known = m_relays.find(relay); known != m_relays.end()) {
    known->second.m_paused_until = SteadyTime() + kRelayPause;
  }
  Connect(pending);
}

}  // namespace dotterelshed
