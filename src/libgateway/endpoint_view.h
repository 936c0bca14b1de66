#ifndef DOTTERELSHED_ENDPOINT_VIEW_H_
#define DOTTERELSHED_ENDPOINT_VIEW_H_

#include <string_view>

#include "dotterelshed/endpoint_directory.h"
#include "entry_context.h"
#include "platform/object_store.h"

/// @file
/// Keeps the directory of endpoints as the platform's store lists them, and
/// writes a line for each change, with the age of the view that it ends.

namespace dotterelshed {

class EndpointView {
 public:
  /// Sets the context's endpoint follower.
  explicit EndpointView(EntryContext& context);

  auto Start() -> void;
  /// Drops entries whose time to come back is over; call several times a
  /// second.
  auto Tick(TimePoint now) -> void;
  /// Clears endpoints of having ended that the platform goes on to list as the
  /// same start.
  auto ClearListedEndpoints(TimePoint now) -> void;

 private:
  auto ApplyListing(const ObjectListing& listing) -> void;
  auto ApplyChanges(const ObjectChanges& changes) -> void;
  auto ApplyChange(const ObjectChange& change, TimePoint now) -> EndpointChange;
  auto ReportChange(const EndpointChange& change, std::string_view source)
      -> void;
  auto OnStoreReachable(bool reachable) -> void;

  EntryContext& m_context;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_VIEW_H_
