#ifndef DOTTERELSHED_DOTTERELCTL_DESK_STORE_H_
#define DOTTERELSHED_DOTTERELCTL_DESK_STORE_H_

#include <set>
#include <string>
#include <vector>

#include "dotterelshed/desk_config.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/membership_messages.h"
#include "dotterelshed/platform_client.h"
#include "dotterelshed/platform_codec.h"

/// @file
/// The desk's objects in the platform, as operators need them.

namespace dotterelshed::ctl {

/// How to reach the platform; each call makes a new writer name.
auto MakePlatformOptions(const std::string& address) -> PlatformOptions;

/// The accepted text with the version to replace it by.
struct StoredDesk {
  StoredConfig m_config;
  /// 0 while no text was ever accepted.
  ResourceVersion m_version;
};

/// Reads the accepted text; an empty one at generation 0 if there is none.
auto ReadDesk(const PlatformOptions& platform) -> Result<StoredDesk>;

/// Writes @p text as the generation after @p seen, if that is still the
/// accepted one. Errors: kConflict.
auto WriteDesk(const PlatformOptions& platform,
               const StoredDesk& seen,
               const std::string& text) -> Result<Generation>;

auto ReadStatuses(const PlatformOptions& platform)
    -> Result<std::vector<DomainStatus>>;
auto ReadTables(const PlatformOptions& platform)
    -> Result<std::vector<DomainTable>>;

/// Every lane with its version.
auto ReadLanes(const PlatformOptions& platform)
    -> Result<std::vector<ClaimShardObject>>;

/// Claims of non-idempotent calls without a result, or all of them, oldest
/// first. A claim whose call is still running has no result either.
auto ReadClaims(const PlatformOptions& platform, bool all)
    -> Result<std::vector<ClaimRecord>>;

/// Failure domains in which @p config has endpoints.
auto DomainsOf(const DeskConfig& config) -> std::set<DomainId>;

/// A domain where a generation is not in force yet, and why.
struct LaggingDomain {
  DomainId m_domain;
  Generation m_in_force;
  std::vector<HostId> m_behind;
  /// False when the domain has never reported.
  bool m_known = false;
};

/// Domains of @p wanted where @p generation is not in force.
auto FindLagging(const std::set<DomainId>& wanted,
                 const std::vector<DomainStatus>& statuses,
                 Generation generation) -> std::vector<LaggingDomain>;

/// One line for people.
auto Describe(const LaggingDomain& domain) -> std::string;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_DESK_STORE_H_
