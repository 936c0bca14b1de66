#include "desk_store.h"

#include <algorithm>
#include <random>

namespace dotterelshed::ctl {

namespace {

constexpr auto kPlatformTimeout = std::chrono::seconds(2);

/// Reads all objects of a kind and decodes each; one that can't be decoded
/// fails the whole, since a report without it would mislead.
template <typename Value>
auto ReadAllOf(const PlatformOptions& platform,
               std::string_view kind,
               Result<Value> (*decode)(std::string_view))
    -> Result<std::vector<Value>> {
  const auto list = ListObjects(platform, std::string(kind));
  if (!list) {
    return tl::unexpected<Error>(list.error());
  }
  std::vector<Value> values;
  for (const auto& object : list->m_objects) {
    auto value = decode(object.m_value);
    if (!value) {
      return Fail(value.error().m_code, value.error().m_message,
                  object.m_kind + "/" + object.m_name);
    }
    if constexpr (requires { value->m_version; }) {
      value->m_version = object.m_version;
    }
    values.push_back(std::move(*value));
  }
  return values;
}

}  // namespace

auto MakePlatformOptions(const std::string& address) -> PlatformOptions {
  std::random_device device;
  return {.m_address = address,
          .m_timeout = kPlatformTimeout,
          .m_writer = "dotterelctl-" + std::to_string(device()) + "-" +
                      std::to_string(device())};
}

auto ReadDesk(const PlatformOptions& platform) -> Result<StoredDesk> {
  const auto object =
      GetObject(platform, std::string(kConfigKind), std::string(kConfigName));
  if (!object) {
    if (object.error().m_code == ErrorCode::kNotFound) {
      return StoredDesk{};
    }
    return tl::unexpected<Error>(object.error());
  }
  const auto config = DecodeStoredConfig(object->m_value);
  if (!config) {
    return tl::unexpected<Error>(config.error());
  }
  return StoredDesk{.m_config = *config, .m_version = object->m_version};
}

auto WriteDesk(const PlatformOptions& platform,
               const StoredDesk& seen,
               const std::string& text) -> Result<Generation> {
  const auto next = seen.m_config.m_generation.Next();
  const PlatformObject object{
      .m_kind = std::string(kConfigKind),
      .m_name = std::string(kConfigName),
      .m_version = seen.m_version,
      .m_value = EncodeStoredConfig({.m_generation = next, .m_text = text})};
  const auto version = PutObject(platform, object);
  if (!version) {
    return tl::unexpected<Error>(version.error());
  }
  return next;
}

auto ReadStatuses(const PlatformOptions& platform)
    -> Result<std::vector<DomainStatus>> {
  return ReadAllOf<DomainStatus>(platform, kDomainStatusKind,
                                 DecodeDomainStatus);
}

auto ReadTables(const PlatformOptions& platform)
    -> Result<std::vector<DomainTable>> {
  return ReadAllOf<DomainTable>(platform, kDomainTableKind, DecodeDomainTable);
}

auto ReadLanes(const PlatformOptions& platform)
    -> Result<std::vector<ClaimShardObject>> {
  return ReadAllOf<ClaimShardObject>(platform, kLaneKind, DecodeLane);
}

auto ReadClaims(const PlatformOptions& platform, bool all)
    -> Result<std::vector<ClaimRecord>> {
  const auto lanes = ReadLanes(platform);
  if (!lanes) {
    return tl::unexpected<Error>(lanes.error());
  }
  std::vector<ClaimRecord> claims;
  for (const auto& lane : *lanes) {
    const auto found = all ? lane.m_claims : ClaimsWithoutResult(lane);
    claims.insert(claims.end(), found.begin(), found.end());
  }
  std::stable_sort(claims.begin(), claims.end(),
                   [](const ClaimRecord& left, const ClaimRecord& right) {
                     return left.m_claimed_at_s < right.m_claimed_at_s;
                   });
  return claims;
}

auto DomainsOf(const DeskConfig& config) -> std::set<DomainId> {
  std::set<DomainId> domains;
  for (const auto& [id, service] : config.m_services) {
    for (const auto& endpoint : service.m_endpoints) {
      domains.insert(endpoint.m_domain);
    }
  }
  return domains;
}

auto FindLagging(const std::set<DomainId>& wanted,
                 const std::vector<DomainStatus>& statuses,
                 Generation generation) -> std::vector<LaggingDomain> {
  std::vector<LaggingDomain> lagging;
  for (const auto& domain : wanted) {
    const auto found = std::find_if(statuses.begin(), statuses.end(),
                                    [&domain](const DomainStatus& status) {
                                      return status.m_domain == domain;
                                    });
    if (found == statuses.end()) {
      lagging.push_back({.m_domain = domain});
    } else if (found->m_in_force < generation) {
      lagging.push_back({.m_domain = domain,
                         .m_in_force = found->m_in_force,
                         .m_behind = found->m_behind,
                         .m_known = true});
    }
  }
  return lagging;
}

auto Describe(const LaggingDomain& domain) -> std::string {
  auto text = domain.m_domain.value();
  if (!domain.m_known) {
    return text + ": has never reported; no host of it runs, or it is cut off";
  }
  text +=
      ": generation " + std::to_string(domain.m_in_force.value()) + " in force";
  if (domain.m_behind.empty()) {
    return text + "; the domain may be cut off from the platform";
  }
  text += "; behind:";
  for (const auto& host : domain.m_behind) {
    text += " " + host.value();
  }
  return text;
}

}  // namespace dotterelshed::ctl
