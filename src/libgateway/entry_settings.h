#ifndef DOTTERELSHED_ENTRY_SETTINGS_H_
#define DOTTERELSHED_ENTRY_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"
#include "platform/obligations.h"

/// @file
/// Settings of a dotterelshed_entry process: JSON with comments, rendered by
/// the platform from deploy/host.jsonc.in.

namespace dotterelshed {

enum class HostRole {
  kEntry,  ///< Accepts client requests.
  kDisk,   ///< Stores journals on a disk and confirms retirements.
};

struct EntrySettings {
  HostId m_host;
  DomainId m_domain;
  HostRole m_role = HostRole::kEntry;
  /// Addresses as "IP:port"; the first two are empty on disk hosts.
  std::string m_caller_address;
  std::string m_ready_address;
  std::string m_peer_address;
  std::string m_platform_address;
  /// Data directory of a disk host.
  std::string m_data_dir;
  /// The whole system starts for the first time, so that an empty disk has lost
  /// nothing.
  bool m_first_start = false;
  /// Time between SIGTERM and SIGKILL.
  Duration m_stop_grace = std::chrono::seconds(8);
  /// After a failure of the store, this host's view of it is complete again
  /// within this time.
  Duration m_view_max_age = std::chrono::seconds(3);
  /// Interval between an endpoint's heartbeats to the platform.
  Duration m_endpoint_heartbeat = std::chrono::milliseconds(1200);
  /// A leaving endpoint must be out of use on all hosts within this time.
  Duration m_endpoint_leave = std::chrono::seconds(2);
  /// A new configuration must be in force on all hosts within this time.
  Duration m_config_change = std::chrono::seconds(2);
  /// A withdrawn key must be out of use on all hosts within this time, or one
  /// second if that is longer; zero if the bound of a new configuration is
  /// enough.
  Duration m_key_withdrawal{0};
  /// The bound for withdrawn keys also holds for a host that is out of touch
  /// with the store: it lets no key in that it can't vouch for.
  bool m_strict_key_withdrawal = false;
  /// Limit of open file descriptors of the process.
  int m_max_descriptors = 1024;
  /// Number of disk hosts that may fail at the same time.
  int m_tolerated_losses = 1;
  /// All failure domains; each has an equal share of the quotas.
  std::vector<DomainId> m_domains;
  /// Bound on the requests of an account with a quota: in any window at most
  /// (rate x window + burst) x (1 + over) + slack.
  Duration m_quota_window = std::chrono::seconds(5);
  double m_quota_over = 0.1;
  double m_quota_slack = 20;
  /// Number of failure domains that may fail at the same time, instead of so
  /// many hosts. Without a value each disk host that fails may be the last of
  /// its domain.
  std::optional<int> m_tolerated_domains;
  /// Processor capacity of the host, in cores.
  double m_processor_share = 1.0;
  /// What the deployment asks for; see obligations.h.
  Obligations m_obligations;
  std::string m_log_level = "info";
};

/// Parses and validates settings. Unknown keys are errors. The error names the
/// file and the key.
auto ParseEntrySettings(std::string_view text, std::string_view file)
    -> Result<EntrySettings>;

/// Time within which a withdrawn key is out of use on hosts in touch with the
/// store.
auto KeyWithdrawalTime(const EntrySettings& settings) -> Duration;

/// Time within which a host must know a new configuration.
auto ConfigChangeTime(const EntrySettings& settings) -> Duration;

/// Parses an address from validated settings; an invalid one is a programming
/// error.
auto CheckedAddress(const std::string& text) -> TcpAddress;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENTRY_SETTINGS_H_
