#ifndef DOTTERELSHED_ENDPOINT_VIEW_H_
#define DOTTERELSHED_ENDPOINT_VIEW_H_

#include <string_view>

#include "dotterelshed/endpoint_directory.h"
#include "entry_context.h"
#include "platform/object_store.h"

/// @file
/// Maintains the endpoint directory from the platform's store and logs each
/// change with the age of the view that it replaces.

namespace dotterelshed {

class EndpointView {
 public:
  /// Creates the context's endpoint watcher.
  explicit EndpointView(EntryContext& context);

  auto Start() -> void;
  /// Drops held entries that were not listed again in time; call several times
  /// per second.
  auto Tick(TimePoint now) -> void;
  /// Withdraws the suspicion of a crash from endpoints that the platform still
  /// lists with the same start time.
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
