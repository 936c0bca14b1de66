#include "status_sources.h"

#include <atomic>
#include <thread>

#include "host_client.h"

namespace dotterelshed::ctl {

namespace {

/// Hosts asked at the same time.
constexpr std::size_t kMaxThreads = 16;

/// Takes @p result into @p target, or notes why there is none.
template <typename T>
auto Take(Result<T> result, T& target, PlatformView& view) -> void {
  if (result) {
    target = std::move(*result);
  } else if (view.m_error.empty()) {
    view.m_error = result.error().m_message;
  }
}

/// Names of the objects of a kind that are marked as leaving.
auto ReadLeaving(const PlatformOptions& platform, std::string_view kind)
    -> Result<std::vector<std::string>> {
  const auto list = ListObjects(platform, std::string(kind));
  if (!list) {
    return tl::unexpected<Error>(list.error());
  }
  std::vector<std::string> names;
  for (const auto& object : list->m_objects) {
    const auto node = DecodeListedNode(object.m_value);
    if (node && node->m_leaving) {
      names.push_back(object.m_name);
    }
  }
  return names;
}

auto ReadHostView(const std::string& address) -> HostView {
  const auto body = GetFromHost(address, "/admin/status");
  if (body) {
    return ParseHostView(address, *body);
  }
  return {.m_address = address, .m_error = body.error().m_message};
}

}  // namespace

auto ReadPlatformView(const std::string& address) -> PlatformView {
  PlatformView view;
  const auto platform = MakePlatformOptions(address);
  Take(ReadDesk(platform), view.m_desk, view);
  if (!view.m_error.empty()) {
    return view;
  }
  Take(ReadStatuses(platform), view.m_statuses, view);
  Take(ReadTables(platform), view.m_tables, view);
  Take(ReadClaims(platform, /*all=*/false), view.m_open_claims, view);
  Take(ReadLeaving(platform, kHostKind), view.m_leaving_hosts, view);
  Take(ReadLeaving(platform, kEndpointKind), view.m_leaving_endpoints, view);
  return view;
}

auto ReadHostViews(const std::vector<std::string>& addresses)
    -> std::vector<HostView> {
  std::vector<HostView> views(addresses.size());
  std::atomic<std::size_t> next{0};
  const auto work = [&] {
    for (auto i = next++; i < addresses.size(); i = next++) {
      views[i] = ReadHostView(addresses[i]);
    }
  };
  std::vector<std::thread> threads;
  const auto count = std::min(kMaxThreads, addresses.size());
  threads.reserve(count);
  for (auto i = std::size_t{0}; i < count; ++i) {
    threads.emplace_back(work);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return views;
}

auto HostAddressesOf(const std::vector<DomainTable>& tables)
    -> std::vector<std::string> {
  std::vector<std::string> addresses;
  for (const auto& table : tables) {
    for (const auto& [id, member] : table.m_members) {
      addresses.push_back(member.m_addresses.m_http);
    }
  }
  return addresses;
}

}  // namespace dotterelshed::ctl
