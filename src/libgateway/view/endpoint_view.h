#ifndef DOTTERELSHED_ENDPOINT_VIEW_H_
#define DOTTERELSHED_ENDPOINT_VIEW_H_

#include <functional>
#include <string_view>
#include <vector>

#include "dotterelshed/endpoint_directory.h"
#include "entry_context.h"
#include "platform/object_store.h"

/// @file
/// Maintains the endpoint directory from the platform's store and logs each
/// change with the age of the view that it replaces.

namespace dotterelshed {

class EndpointView {
 public:
  /// Longest wait for a listing that a request needs, and the shortest time
  /// between two of them.
  static constexpr Duration kMaxListingWait = std::chrono::milliseconds(600);

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
  /// Lists the endpoints, unless that was done a moment ago; @p done is called
  /// when a listing arrives, or after kMaxListingWait.
  auto Refresh(std::function<void()> done) -> void;
  /// Calls those that wait for a listing since before @p time.
  auto EndWaits(TimePoint time) -> void;

  /// A request that needs the newest listing.
  struct ListingWait {
    std::function<void()> m_done;
    TimePoint m_since;
  };

  EntryContext& m_context;
  std::vector<ListingWait> m_waits;
  TimePoint m_refreshed_at;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_VIEW_H_
