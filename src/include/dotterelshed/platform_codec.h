#ifndef DOTTERELSHED_PLATFORM_CODEC_H_
#define DOTTERELSHED_PLATFORM_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/claim_shard.h"
#include "dotterelshed/error.h"
#include "dotterelshed/membership_messages.h"

/// @file
/// JSON of the objects that the system keeps in the platform. Versions are not
/// part of the text: set them from the object that it was read from.

namespace dotterelshed {

/// The kinds, as they stand in the platform's URLs.
inline constexpr std::string_view kDomainTableKind = "domaintables";
inline constexpr std::string_view kLaneKind = "lanes";
inline constexpr std::string_view kConfigKind = "configs";
inline constexpr std::string_view kDomainStatusKind = "domainstatuses";
inline constexpr std::string_view kHostKind = "hosts";
inline constexpr std::string_view kEndpointKind = "endpoints";
/// Name of the one object of kind kConfigKind.
inline constexpr std::string_view kConfigName = "desk";

/// The operators' text as it is stored.
struct StoredConfig {
  Generation m_generation;
  std::string m_text;
};

/// An entry of the platform's list of hosts or endpoints.
struct ListedNode {
  bool m_leaving = false;
};

auto EncodeDomainTable(const DomainTable& table) -> std::string;
auto EncodeLane(const ClaimShardObject& lane) -> std::string;
auto EncodeDomainStatus(const DomainStatus& status) -> std::string;
auto EncodeStoredConfig(const StoredConfig& config) -> std::string;

/// Each fails with kInvalidArgument and the place of the fault.
auto DecodeDomainTable(std::string_view text) -> Result<DomainTable>;
auto DecodeLane(std::string_view text) -> Result<ClaimShardObject>;
auto DecodeDomainStatus(std::string_view text) -> Result<DomainStatus>;
auto DecodeStoredConfig(std::string_view text) -> Result<StoredConfig>;
auto DecodeListedNode(std::string_view text) -> Result<ListedNode>;

/// Claims of @p lane that have no result, oldest first.
auto ClaimsWithoutResult(const ClaimShardObject& lane)
    -> std::vector<ClaimRecord>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PLATFORM_CODEC_H_
