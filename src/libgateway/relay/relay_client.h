#ifndef DOTTERELSHED_RELAY_CLIENT_H_
#define DOTTERELSHED_RELAY_CLIENT_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/http_client.h"
#include "entry_context.h"
#include "relay/link_monitor.h"

/// @file
/// Connections to endpoints: this host's own, or through other hosts while its
/// links to endpoints are lost. Asks the leads which hosts may pass attempts
/// on.

namespace dotterelshed {

class RelayClient {
 public:
  using AcquireCallback = ConnectionPool::AcquireCallback;

  explicit RelayClient(EntryContext& context);

  /// Passes a connection to the endpoint, or nullptr if there is none.
  /// @param max_idle  see ConnectionPool::Acquire.
  auto Acquire(const EndpointId& endpoint,
               const std::string& address,
               Duration max_idle,
               AcquireCallback on_acquired) -> void;
  /// True if neither this host nor, as far as it knows, another one reaches
  /// endpoints for it.
  auto cut_off() const -> bool;
  auto Tick(TimePoint now) -> void;

 private:
  /// One connection that is being made through other hosts.
  struct Pending {
    std::string m_address;
    AcquireCallback m_on_acquired;
    /// Hosts that failed for it.
    std::set<std::string> m_tried;
  };
  /// A host that passes attempts on.
  struct Relay {
    bool m_near = false;
    /// It isn't used before, since it refused or didn't answer.
    TimePoint m_paused_until;
    /// Number of the last connection through it.
    std::int64_t m_last_use = 0;
  };

  /// A connection on this host's own links was made, or not.
  auto OnDirect(const EndpointId& endpoint,
                const std::shared_ptr<ClientConnection>& connection) -> void;
  auto OnLinksChanged(bool lost) -> void;
  auto AskForRelays(TimePoint now) -> void;
  /// @param near  They are of this host's domain.
  auto AddRelays(const std::vector<std::string>& addresses, bool near) -> void;
  /// One of the leads has answered @p question, or none is left to be asked.
  auto OnLeadDone(int question) -> void;
  /// Returns the address of the one that was used longest ago; empty if none
  /// may be used now.
  auto PickRelay(const Pending& pending) -> std::string;
  auto Connect(const std::shared_ptr<Pending>& pending) -> void;
  auto OnRelayAnswer(const std::shared_ptr<Pending>& pending,
                     const std::string& relay,
                     const std::shared_ptr<ClientConnection>& connection,
                     int status) -> void;

  EntryContext& m_context;
  LinkMonitor m_links;
  /// By peer address.
  std::map<std::string, Relay> m_relays;
  /// Those that the leads named since they were last asked.
  std::set<std::string> m_named;
  std::int64_t m_uses = 0;
  /// Connections that wait for the first relay.
  std::vector<std::shared_ptr<Pending>> m_waiting;
  TimePoint m_asked_at;
  /// Number of the current question to the leads; answers to earlier ones only
  /// add relays.
  int m_question = 0;
  /// Leads whose answer is missing, plus one while they are being asked.
  int m_unanswered = 0;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_RELAY_CLIENT_H_
