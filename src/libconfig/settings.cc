#include "dotterelshed/settings.h"

#include <nlohmann/json.hpp>

#include "dotterelshed/config_text.h"
#include "key_schema.h"
#include "node_reader.h"
#include "text_values.h"

namespace dotterelshed {

namespace {

using Json = nlohmann::ordered_json;

auto CheckSettings(std::string_view text, pvt::ParsedText& parsed)
    -> std::vector<ConfigProblem> {
  parsed = pvt::ParseTextTree(text);
  if (!parsed.m_problems.empty()) {
    return parsed.m_problems;
  }
  return pvt::CheckKeys(parsed.m_root,
                        {.m_keys = pvt::SettingsKeys(), .m_currency = ""});
}

auto ReadInt(const pvt::TextNode& root, std::string_view key, int fallback)
    -> int {
  return static_cast<int>(pvt::ReadCount(root, key, fallback));
}

auto CompileAddresses(const pvt::TextNode& root, Settings& settings) -> void {
  settings.m_http_address =
      pvt::ReadText(root, "http_address", settings.m_http_address);
  settings.m_peer_address =
      pvt::ReadText(root, "peer_address", settings.m_peer_address);
  settings.m_peer_advertised =
      pvt::ReadText(root, "peer_advertised", settings.m_peer_advertised);
  settings.m_platform_address = pvt::ReadText(root, "platform_address");
  for (const auto& peer : pvt::ReadTexts(root, "seed_peers")) {
    settings.m_seed_peers.push_back(peer.m_text);
  }
}

auto CompileLimits(const pvt::TextNode& root, Settings& settings) -> void {
  settings.m_heartbeat_interval = pvt::ReadDuration(
      root, "heartbeat_interval", settings.m_heartbeat_interval);
  settings.m_missed_heartbeats =
      ReadInt(root, "missed_heartbeats", settings.m_missed_heartbeats);
  settings.m_tick = pvt::ReadDuration(root, "tick", settings.m_tick);
  settings.m_drain_timeout =
      pvt::ReadDuration(root, "drain_timeout", settings.m_drain_timeout);
  settings.m_max_open_requests =
      ReadInt(root, "max_open_requests", settings.m_max_open_requests);
  settings.m_max_programs =
      ReadInt(root, "max_programs", settings.m_max_programs);
  settings.m_max_stored_answers =
      ReadInt(root, "max_stored_answers", settings.m_max_stored_answers);
  settings.m_max_body = pvt::ReadBytes(root, "max_body", settings.m_max_body);
}

auto CompileSettings(const pvt::TextNode& root) -> Settings {
  Settings settings;
  settings.m_host = HostId(pvt::ReadText(root, "host"));
  settings.m_domain = DomainId(pvt::ReadText(root, "domain"));
  settings.m_token_secret = pvt::ReadText(root, "token_secret");
  settings.m_charts_dir = pvt::ReadText(root, "charts_dir");
  settings.m_data_dir = pvt::ReadText(root, "data_dir");
  settings.m_ready_file = pvt::ReadText(root, "ready_file");
  settings.m_trace_file = pvt::ReadText(root, "trace_file");
  settings.m_log_level = pvt::ReadText(root, "log_level", settings.m_log_level);
  CompileAddresses(root, settings);
  CompileLimits(root, settings);
  return settings;
}

}  // namespace

auto ParseSettings(std::string_view text, std::string_view file)
    -> Result<Settings> {
  pvt::ParsedText parsed;
  const auto problems = CheckSettings(text, parsed);
  if (problems.empty()) {
    return CompileSettings(parsed.m_root);
  }
  std::string message;
  for (const auto& problem : problems) {
    message += (message.empty() ? "" : "\n") + FormatProblem(problem, file);
  }
  return Fail(ErrorCode::kInvalidArgument, message, std::string(file));
}

auto FormatSettings(const Settings& settings) -> std::string {
  const Json json{
      {"host", settings.m_host.value()},
      {"domain", settings.m_domain.value()},
      {"http_address", settings.m_http_address},
      {"peer_address", settings.m_peer_address},
      {"platform_address", settings.m_platform_address},
      {"seed_peers", settings.m_seed_peers},
      {"token_secret", settings.m_token_secret},
      {"charts_dir", settings.m_charts_dir},
      {"data_dir", settings.m_data_dir},
      {"ready_file", settings.m_ready_file},
      {"trace_file", settings.m_trace_file},
      {"log_level", settings.m_log_level},
      {"heartbeat_interval",
       pvt::FormatDuration(settings.m_heartbeat_interval)},
      {"missed_heartbeats", settings.m_missed_heartbeats},
      {"tick", pvt::FormatDuration(settings.m_tick)},
      {"drain_timeout", pvt::FormatDuration(settings.m_drain_timeout)},
      {"max_open_requests", settings.m_max_open_requests},
      {"max_programs", settings.m_max_programs},
      {"max_stored_answers", settings.m_max_stored_answers},
      {"max_body", pvt::FormatBytes(settings.m_max_body)}};
  constexpr auto kIndent = 2;
  return json.dump(kIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

}  // namespace dotterelshed
