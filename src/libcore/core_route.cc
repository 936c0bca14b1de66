#include "core_route.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace dotterelshed {

namespace pvt {

namespace {

auto Weight(const PoolId& pool, const ProgramId& root) -> XXH64_hash_t {
  const auto key = pool.value() + "\n" + root.value();
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

auto DomainOf(const ProgramId& program) -> DomainId {
  const auto& text = program.value();
  return DomainId(text.substr(0, text.rfind('.')));
}

auto HomePool(const HostCore& core, const ProgramId& root) -> PoolId {
  const auto pools = PoolsOf(*core.m_ownership, DomainOf(root));
  const auto home = std::max_element(pools.begin(), pools.end(),
                                     [&root](const auto& a, const auto& b) {
                                       return Weight(a, root) < Weight(b, root);
                                     });
  return home == pools.end() ? PoolId() : *home;
}

auto EndpointsOf(const HostCore& core, const PoolId& pool)
    -> std::vector<EndpointConfig> {
  std::vector<EndpointConfig> endpoints;
  if (!core.m_config) {
    return endpoints;
  }
  for (const auto& [id, service] : core.m_config->m_services) {
    if (service.m_kind == ServiceKind::kModel) {
      const auto more = PoolEndpoints(*core.m_ownership, pool, id);
      endpoints.insert(endpoints.end(), more.begin(), more.end());
    }
  }
  return endpoints;
}

auto IsAlive(const HostCore& core, const HostRef& host) -> bool {
  return host == core.m_options.m_self ||
         std::any_of(core.m_live.begin(), core.m_live.end(),
                     [&host](const MemberInfo& member) {
                       return member.m_host == host && member.m_alive;
                     });
}

auto NeedsClaim(const CallRequest& call) -> bool {
  return call.m_key.has_value() || !call.m_repeatable;
}

namespace {

auto RefuseRoute(const PoolId& pool, ReasonCode reason) -> Route {
  return {.m_kind = Route::Kind::kRefuse,
          .m_pool = pool,
          .m_reason = reason,
          .m_retry_after = std::chrono::milliseconds(500)};
}

auto ForwardTo(const HostCore& core, const PoolId& pool, const HostId& host)
    -> Route {
  const auto addresses = FindAddresses(*core.m_ownership, host);
  if (!addresses) {
    return RefuseRoute(pool, ReasonCode::kHomeUnreachable);
  }
  return {.m_kind = Route::Kind::kForward,
          .m_pool = pool,
          .m_host = host,
          .m_addresses = *addresses};
}

}  // namespace

}  // namespace pvt

auto RouteCall(const HostCore& core, const CallRequest& call, TimePoint now)
    -> Route {
  const auto pool = pvt::HomePool(core, call.m_root);
  const auto* assignment =
      pool.empty() ? nullptr : FindPool(*core.m_ownership, pool);
  if (assignment == nullptr) {
    return pvt::RefuseRoute(pool, ReasonCode::kHomeUnreachable);
  }
  const auto& self = core.m_options.m_self;
  if (assignment->m_primary == self) {
    return {.m_kind = Route::Kind::kLocal, .m_pool = pool};
  }
  const auto remote = pvt::DomainOf(call.m_root) != core.m_options.m_domain;
  const auto trusted = now >= core.m_failure_detection_resumes;
  if (remote || !trusted || pvt::IsAlive(core, assignment->m_primary)) {
    return pvt::ForwardTo(core, pool, assignment->m_primary.m_host);
  }
  if (core.m_platform_reachable || assignment->m_holder.m_host.empty()) {
    return pvt::RefuseRoute(pool, ReasonCode::kNotOwner);
  }
  if (assignment->m_holder == self) {
    return {.m_kind = Route::Kind::kLocal, .m_pool = pool};
  }
  return pvt::ForwardTo(core, pool, assignment->m_holder.m_host);
}

auto CurrentConfig(const HostCore& core) -> std::shared_ptr<const DeskConfig> {
  return core.m_config;
}

auto AddressesOf(const HostCore& core, const HostId& host)
    -> std::optional<HostAddresses> {
  return FindAddresses(*core.m_ownership, host);
}

auto OwnedEndpoints(const HostCore& core) -> std::vector<EndpointConfig> {
  std::vector<EndpointConfig> endpoints;
  for (const auto& [id, pool] : core.m_pools) {
    if (pool.m_role == pvt::PoolRole::kPrimary) {
      const auto more = pvt::EndpointsOf(core, id);
      endpoints.insert(endpoints.end(), more.begin(), more.end());
    }
  }
  return endpoints;
}

}  // namespace dotterelshed
