#ifndef DOTTERELSHED_SETTINGS_H_
#define DOTTERELSHED_SETTINGS_H_

#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Settings of one dotterelshed process: JSON with comments.

namespace dotterelshed {

struct Settings {
  HostId m_host;
  DomainId m_domain;
  /// "IP:port" each; port 0 lets the system choose.
  std::string m_http_address = "127.0.0.1:0";
  std::string m_peer_address = "127.0.0.1:0";
  /// What other hosts are told, where it differs from the address that the
  /// host listens on; empty otherwise.
  std::string m_peer_advertised;
  /// The platform's object API.
  std::string m_platform_address;
  /// Peer addresses to ask when the platform can't be reached at start.
  std::vector<std::string> m_seed_peers;
  /// Secret shared by all hosts, for signing continuation tokens.
  std::string m_token_secret;
  std::string m_charts_dir;
  /// Empty on hosts without a disk.
  std::string m_data_dir;
  /// Written once ports are known: {"http": ..., "peer": ...}; may be empty.
  std::string m_ready_file;
  /// Traffic is recorded there in the replay's trace format; may be empty.
  std::string m_trace_file;
  std::string m_log_level = "info";
  Duration m_heartbeat_interval = std::chrono::milliseconds(500);
  int m_missed_heartbeats = 4;
  Duration m_tick = std::chrono::milliseconds(20);
  Duration m_drain_timeout = std::chrono::seconds(30);
  int m_max_open_requests = 512;
  int m_max_programs = 100000;
  int m_max_stored_answers = 64;
  Bytes m_max_body{4194304};
};

/// Parses and checks settings. The error names file, line, path and remedy.
auto ParseSettings(std::string_view text, std::string_view file)
    -> Result<Settings>;

/// The settings in force, as a text that ParseSettings takes.
auto FormatSettings(const Settings& settings) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_SETTINGS_H_
