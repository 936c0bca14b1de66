#ifndef DOTTERELSHED_VIEW_MESSAGES_H_
#define DOTTERELSHED_VIEW_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"
#include "platform/object_codec.h"

/// @file
/// Messages by which a host gets the content of the platform's store from
/// another host. Bodies are JSON; objects are encoded as in the store.

namespace dotterelshed {

/// Requests all objects of a kind as soon as they differ from those at a
/// version.
struct ViewRequest {
  ObjectKind m_kind = ObjectKind::kConfig;
  ResourceVersion m_version;
  /// The response may be partial. Hosts of earlier versions don't send this.
  bool m_accepts_partial = false;
  /// With endpoints: peer address of the requesting host, and whether it would
  /// pass other hosts' attempts on. Empty from hosts of earlier versions.
  std::string m_host_address;
  bool m_can_relay = false;
};

struct ViewResponse {
  /// Store version up to which the responding host's view is complete.
  ResourceVersion m_version;
  /// Time since the store last confirmed that the view is complete.
  Duration m_age{0};
  /// Remaining time in which entries that vanished with a store outage may be
  /// listed again.
  Duration m_hold{0};
  /// With endpoints: number of changes of their limits that the responding host
  /// knows of. Hosts of earlier versions don't send this.
  std::int64_t m_limit_changes = 0;
  /// All objects of the kind; empty if they are the same as at the requested
  /// version.
  std::optional<std::vector<StoredObject>> m_objects;
  /// m_objects has only those that changed since the requested version.
  bool m_partial = false;
  /// If partial: names of the objects that were removed since then.
  std::vector<std::string> m_removed;
};

auto EncodeViewRequest(const ViewRequest& request) -> std::string;
/// Errors: kInvalidArgument.
auto DecodeViewRequest(std::string_view text) -> Result<ViewRequest>;

/// Encodes the objects of a response, once for all requesting hosts.
auto EncodeViewObjects(const std::vector<const StoredObject*>& objects)
    -> std::string;
/// @param objects  Result of EncodeViewObjects(); empty for none. The objects
/// in @p response are ignored.
auto EncodeViewResponse(const ViewResponse& response, std::string_view objects)
    -> std::string;
/// Errors: kInvalidArgument.
auto DecodeViewResponse(std::string_view text) -> Result<ViewResponse>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_VIEW_MESSAGES_H_
