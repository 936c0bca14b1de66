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
/// How one host tells another what the platform's store holds. Bodies are JSON;
/// objects are encoded as the store does.

namespace dotterelshed {

/// Asks for all objects of a kind, once they differ from those at a version.
struct ViewRequest {
  ObjectKind m_kind = ObjectKind::kConfig;
  ResourceVersion m_version;
};

struct ViewResponse {
  /// The store's version that the answering host's view is complete up to.
  ResourceVersion m_version;
  /// Time since the store last showed it to be complete.
  Duration m_age{0};
  /// Time for which entries that are missing may still come back, since the
  /// store was away.
  Duration m_hold{0};
  /// All objects of the kind; empty when they are the same as at the version
  /// that was asked with.
  std::optional<std::vector<StoredObject>> m_objects;
};

auto EncodeViewRequest(const ViewRequest& request) -> std::string;
/// Errors: kInvalidArgument.
auto DecodeViewRequest(std::string_view text) -> Result<ViewRequest>;

/// The objects of an answer, to be encoded once for all hosts that ask.
auto EncodeViewObjects(const std::vector<const StoredObject*>& objects)
    -> std::string;
/// @param objects  what EncodeViewObjects made; empty for none. Those of
/// @p answer aren't looked at.
auto EncodeViewResponse(const ViewResponse& response, std::string_view objects)
    -> std::string;
/// Errors: kInvalidArgument.
auto DecodeViewResponse(std::string_view text) -> Result<ViewResponse>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_VIEW_MESSAGES_H_
