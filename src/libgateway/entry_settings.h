#ifndef DOTTERELSHED_ENTRY_SETTINGS_H_
#define DOTTERELSHED_ENTRY_SETTINGS_H_

#include <string>
#include <string_view>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Settings of one process of the platform path: JSON with comments, rendered
/// by the platform from deploy/host.jsonc.in.

namespace dotterelshed {

enum class HostRole {
  kEntry,  ///< Takes callers' requests.
  kDisk,   ///< Stands on a host with a disk and answers retirements.
};

struct EntrySettings {
  HostId m_host;
  DomainId m_domain;
  HostRole m_role = HostRole::kEntry;
  /// "IP:port" each; the first two are empty on disk hosts.
  std::string m_caller_address;
  std::string m_ready_address;
  std::string m_peer_address;
  std::string m_platform_address;
  /// Data folder of a disk host.
  std::string m_data_dir;
  /// Time from SIGTERM to SIGKILL.
  Duration m_stop_grace = std::chrono::seconds(8);
  /// Time after trouble of the store within which this host's view of it is
  /// complete again.
  Duration m_view_max_age = std::chrono::seconds(3);
  /// Time between two heartbeats of an endpoint to the platform.
  Duration m_endpoint_heartbeat = std::chrono::milliseconds(1200);
  /// Time in which an endpoint that leaves must be out of use everywhere.
  Duration m_endpoint_leave = std::chrono::seconds(2);
  /// Sockets, files and pipes that the process may hold.
  int m_max_descriptors = 1024;
  /// Hosts with a disk that may be lost at once.
  int m_tolerated_losses = 1;
  /// Processor time that the host has, in cores.
  double m_processor_share = 1.0;
  std::string m_log_level = "info";
};

/// Parses and checks settings. Unknown keys are errors. The error names file
/// and key.
auto ParseEntrySettings(std::string_view text, std::string_view file)
    -> Result<EntrySettings>;

/// An address of settings that have been checked.
auto CheckedAddress(const std::string& text) -> TcpAddress;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENTRY_SETTINGS_H_
