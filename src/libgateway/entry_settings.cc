#include "entry_settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/log_events.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMinDescriptors = 64;
/// A shorter time leaves no room for waiting between two calls to the store.
constexpr Duration kMinViewAge = std::chrono::milliseconds(2000);
constexpr Duration kMinHeartbeat = std::chrono::milliseconds(1);
/// Endpoint changes are batched for up to 800 ms.
constexpr Duration kMinEndpointLeave = std::chrono::milliseconds(1000);
/// A host whose reader is silent needs this time to read the store itself.
constexpr Duration kMinConfigChange = std::chrono::milliseconds(1000);
/// A token's lease must be a small part of the window.
constexpr double kMinQuotaWindow = 1;

/// Reads members of a JSON object and keeps the first error.
struct SettingsReader {
  const Json& m_json;
  std::string m_file;
  std::set<std::string> m_known;
  std::string m_error;
  std::string m_place;

  auto AddError(const std::string& key, const std::string& error) -> void {
    if (m_error.empty()) {
      m_error = error;
      m_place = m_file + ": " + key;
    }
  }

  /// Returns nothing for a key that is missing or null.
  auto Find(const std::string& key) -> const Json* {
    m_known.insert(key);
    const auto found = m_json.find(key);
    return found == m_json.end() || found->is_null() ? nullptr : &*found;
  }

  /// Returns the number or flag of a key. It may stand in a list, which is
  /// empty if there is no value.
  auto FindValue(const std::string& key) -> const Json* {
    const auto* value = Find(key);
    if (value == nullptr || !value->is_array() || value->size() > 1) {
      return value;
    }
    return value->empty() || value->front().is_null() ? nullptr
                                                      : &value->front();
  }

  auto Text(const std::string& key, bool required) -> std::string {
    const auto* value = Find(key);
    if (value == nullptr || !value->is_string()) {
      if (value != nullptr || required) {
        AddError(key, "must be a string");
      }
      return "";
    }
    auto text = value->get<std::string>();
    if (required && text.empty()) {
      AddError(key, "must not be empty");
    }
    return text;
  }

  auto Address(const std::string& key, bool required) -> std::string {
    auto text = Text(key, required);
    if (!text.empty() && !ParseTcpAddress(text)) {
      AddError(key, "'" + text + "' is not an address of the form IP:port");
    }
    return text;
  }

  auto Number(const std::string& key, double minimum, double default_value)
      -> double {
    const auto* value = FindValue(key);
    if (value == nullptr) {
      return default_value;
    }
    if (!value->is_number() || value->get<double>() < minimum) {
      AddError(key, fmt::format("must be a number of at least {}", minimum));
      return default_value;
    }
    return value->get<double>();
  }

  /// Returns a whole number that may be missing.
  auto OptionalCount(const std::string& key) -> std::optional<int> {
    return FindValue(key) == nullptr
               ? std::nullopt
               : std::optional(static_cast<int>(Number(key, 0, 0)));
  }

  auto Flag(const std::string& key, bool default_value) -> bool {
    const auto* value = FindValue(key);
    if (value == nullptr) {
      return default_value;
    }
    if (!value->is_boolean()) {
      AddError(key, "must be true or false");
      return default_value;
    }
    return value->get<bool>();
  }

  auto Texts(const std::string& key) -> std::vector<std::string> {
    const auto* value = Find(key);
    if (value == nullptr) {
      return {};
    }
    const auto valid =
        value->is_array() &&
        std::all_of(value->begin(), value->end(), [](const Json& one) {
          return one.is_string() && !one.get_ref<const std::string&>().empty();
        });
    if (!valid) {
      AddError(key, "must be a list of strings that aren't empty");
      return {};
    }
    return value->get<std::vector<std::string>>();
  }

  auto Milliseconds(const std::string& key,
                    Duration minimum,
                    Duration default_value) -> Duration {
    constexpr auto kMsPerSecond = 1000.0;
    return FromSeconds(Number(key, ToSeconds(minimum) * kMsPerSecond,
                              ToSeconds(default_value) * kMsPerSecond) /
                       kMsPerSecond);
  }

  auto CheckUnknown() -> void {
    for (const auto& [key, value] : m_json.items()) {
      if (!m_known.contains(key)) {
        AddError(key, "unknown key");
      }
    }
  }
};

auto ReadRole(SettingsReader& reader) -> HostRole {
  const auto role = reader.Text("role", true);
  if (role != "entry" && role != "disk") {
    reader.AddError("role", "'" + role + "' is neither entry nor disk");
  }
  return role == "disk" ? HostRole::kDisk : HostRole::kEntry;
}

auto ReadQuotaSettings(SettingsReader& reader, EntrySettings& settings)
    -> void {
  for (auto& name : reader.Texts("domains")) {
    settings.m_domains.emplace_back(std::move(name));
  }
  const auto& domains = settings.m_domains;
  const auto listed = std::find(domains.begin(), domains.end(),
                                settings.m_domain) != domains.end();
  if (!domains.empty() && !listed) {
    reader.AddError("domains", "must contain the host's own domain");
  }
  settings.m_quota_window = FromSeconds(reader.Number(
      "quota_window_s", kMinQuotaWindow, ToSeconds(settings.m_quota_window)));
  settings.m_quota_over = reader.Number("quota_over", 0, settings.m_quota_over);
  settings.m_quota_slack =
      reader.Number("quota_slack", 0, settings.m_quota_slack);
}

}  // namespace

auto ParseEntrySettings(std::string_view text, std::string_view file)
    -> Result<EntrySettings> {
  const auto json = Json::parse(text, nullptr, false, true);
  if (!json.is_object()) {
    return Fail(ErrorCode::kInvalidArgument,
                "is not a JSON object (comments are allowed)",
                std::string(file));
  }
  SettingsReader reader{.m_json = json, .m_file = std::string(file)};
  EntrySettings settings;
  settings.m_role = ReadRole(reader);
  const auto entry = settings.m_role == HostRole::kEntry;
  settings.m_host = HostId(reader.Text("host", true));
  settings.m_domain = DomainId(reader.Text("domain", true));
  settings.m_caller_address = reader.Address("caller_address", entry);
  settings.m_ready_address = reader.Address("ready_address", entry);
  settings.m_peer_address = reader.Address("peer_address", true);
  settings.m_platform_address = reader.Address("platform_address", true);
  settings.m_data_dir = reader.Text("data_dir", !entry);
  settings.m_first_start = reader.Flag("first_start", settings.m_first_start);
  settings.m_stop_grace = FromSeconds(
      reader.Number("stop_grace_s", 0, ToSeconds(settings.m_stop_grace)));
  settings.m_view_max_age = reader.Milliseconds("view_max_age_ms", kMinViewAge,
                                                settings.m_view_max_age);
  settings.m_endpoint_heartbeat = reader.Milliseconds(
      "endpoint_heartbeat_ms", kMinHeartbeat, settings.m_endpoint_heartbeat);
  settings.m_endpoint_leave = reader.Milliseconds(
      "endpoint_leave_ms", kMinEndpointLeave, settings.m_endpoint_leave);
  settings.m_config_change = reader.Milliseconds(
      "config_change_ms", kMinConfigChange, settings.m_config_change);
  settings.m_key_withdrawal = reader.Milliseconds(
      "key_withdrawal_ms", Duration{0}, settings.m_key_withdrawal);
  settings.m_strict_key_withdrawal =
      reader.Flag("strict_key_withdrawal", settings.m_strict_key_withdrawal);
  settings.m_max_descriptors = static_cast<int>(reader.Number(
      "max_descriptors", kMinDescriptors, settings.m_max_descriptors));
  settings.m_tolerated_losses = static_cast<int>(
      reader.Number("tolerated_losses", 0, settings.m_tolerated_losses));
  ReadQuotaSettings(reader, settings);
  settings.m_tolerated_domains = reader.OptionalCount("tolerated_domains");
  settings.m_processor_share =
      reader.Number("processor_share", 0, settings.m_processor_share);
  settings.m_obligations = ReadObligations(reader.Texts("obligations"));
  const auto level = reader.Text("log_level", false);
  if (!level.empty()) {
    settings.m_log_level = level;
  }
  if (!ParseLogLevel(settings.m_log_level)) {
    reader.AddError("log_level", "must be debug, info, warning or error");
  }
  reader.CheckUnknown();
  if (!reader.m_error.empty()) {
    return Fail(ErrorCode::kInvalidArgument, reader.m_error, reader.m_place);
  }
  return settings;
}

auto KeyWithdrawalTime(const EntrySettings& settings) -> Duration {
  return settings.m_key_withdrawal == Duration{0}
             ? settings.m_config_change
             : std::max(settings.m_key_withdrawal, kMinConfigChange);
}

auto ConfigChangeTime(const EntrySettings& settings) -> Duration {
  return std::min(settings.m_config_change, KeyWithdrawalTime(settings));
}

auto CheckedAddress(const std::string& text) -> TcpAddress {
  const auto address = ParseTcpAddress(text);
  DOTTERELSHED_CHECK(address.has_value());
  return *address;
}

}  // namespace dotterelshed
