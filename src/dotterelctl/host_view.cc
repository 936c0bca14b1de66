#include <nlohmann/json.hpp>

#include "status_report.h"

namespace dotterelshed::ctl {

namespace {

using Json = nlohmann::json;

/// The member @p key of @p json, or an empty object.
auto Member(const Json& json, const char* key) -> const Json& {
  static const auto kEmpty = Json::object();
  const auto found = json.is_object() ? json.find(key) : json.end();
  return json.is_object() && found != json.end() ? *found : kEmpty;
}

auto ReadNumber(const Json& json, const char* key) -> std::int64_t {
  const auto& value = Member(json, key);
  return value.is_number_integer() ? value.get<std::int64_t>() : 0;
}

auto ReadFlag(const Json& json, const char* key, bool fallback) -> bool {
  const auto& value = Member(json, key);
  return value.is_boolean() ? value.get<bool>() : fallback;
}

auto ReadString(const Json& json, const char* key) -> std::string {
  const auto& value = Member(json, key);
  return value.is_string() ? value.get<std::string>() : "";
}

auto ReadEndpoint(const Json& json) -> HostEndpoint {
  return {.m_state = ReadString(json, "state"),
          .m_leaving = ReadFlag(json, "leaving", false),
          .m_running = ReadNumber(json, "running"),
          .m_limit = ReadNumber(json, "limit")};
}

auto ReadPool(const std::string& id, const Json& json, HostView& view) -> void {
  const auto& copies = Member(json, "copies");
  HostPool pool;
  pool.m_role = ReadString(json, "role");
  // "complete" speaks of a copy that this host holds for another one.
  pool.m_copied = ReadString(copies, "mode") == "holder";
  pool.m_programs = ReadNumber(json, "programs");
  pool.m_open_calls = ReadNumber(json, "open_calls");
  for (const auto& service : Member(json, "scheduling")) {
    for (const auto& [name, endpoint] : Member(service, "endpoints").items()) {
      view.m_endpoints[name] = ReadEndpoint(endpoint);
    }
  }
  view.m_pools[id] = pool;
}

auto ReadTables(const Json& ownership, HostView& view) -> void {
  const auto add = [&view](const Json& json) {
    if (auto table = DecodeDomainTable(json.dump())) {
      view.m_tables.push_back(std::move(*table));
    }
  };
  if (ownership.contains("table")) {
    add(ownership["table"]);
  }
  for (const auto& table : Member(ownership, "remote_tables")) {
    add(table);
  }
}

}  // namespace

auto ParseHostView(const std::string& address, const std::string& body)
    -> HostView {
  HostView view{.m_address = address};
  const auto json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) {
    view.m_error = "its status can't be read";
    return view;
  }
  const auto& core = Member(json, "core");
  const auto& ownership = Member(core, "ownership");
  view.m_name = ReadString(json, "host");
  view.m_domain = ReadString(json, "domain");
  view.m_generation = Generation(ReadNumber(core, "generation"));
  view.m_draining = ReadFlag(json, "draining", false);
  view.m_platform_reachable = ReadFlag(core, "platform_reachable", true);
  view.m_open_requests = ReadNumber(Member(json, "requests"), "open");
  for (const auto& [id, pool] : Member(core, "pools").items()) {
    ReadPool(id, pool, view);
  }
  for (const auto& digest : Member(ownership, "quarantined")) {
    if (digest.is_string()) {
      view.m_quarantined.push_back(digest.get<std::string>());
    }
  }
  ReadTables(ownership, view);
  return view;
}

}  // namespace dotterelshed::ctl
