#ifndef DOTTERELSHED_VIEW_SERVER_H_
#define DOTTERELSHED_VIEW_SERVER_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "view/view_messages.h"

/// @file
/// Serves a host's view of one kind of objects to other hosts. A request waits
/// (long poll) until the objects change or its time is over. The response has
/// only what changed since the requested version, if that is still known.

namespace dotterelshed {

class ViewServer {
 public:
  /// Receives the response body, or an error if this host's view is not
  /// current.
  using ResponseCallback = std::function<void(const Result<std::string>&)>;

  /// Replaces the objects by a complete listing.
  auto Replace(const std::vector<StoredObject>& objects,
               ResourceVersion version) -> void;
  /// Applies changes to the objects.
  auto Apply(const ObjectChanges& changes) -> void;

  /// Adds a request, which waits until RespondToAll(), FailAll() or @p until. A
  /// request for a version older than the last change gets its response at
  /// once. @p state is the current state of the view.
  auto AddRequest(const ViewRequest& request,
                  const ViewResponse& state,
                  TimePoint until,
                  ResponseCallback respond) -> void;
  /// Responds to requests whose wait is over.
  auto RespondToDue(const ViewResponse& state, TimePoint now) -> void;
  /// Responds to all waiting requests with the view as described by @p state.
  auto RespondToAll(const ViewResponse& state) -> void;
  /// Responds to all waiting requests with an error, since the view may be
  /// outdated.
  auto FailAll(const Error& error) -> void;
  /// Forgets all objects and fails all waiting requests.
  auto Reset(const Error& error) -> void;

 private:
  struct PendingRequest {
    ViewRequest m_request;
    TimePoint m_until;
    ResponseCallback m_respond;
  };

  auto Respond(const PendingRequest& pending, const ViewResponse& state)
      -> void;
  /// Responds with the objects that changed since the requested version.
  auto RespondPartially(const PendingRequest& pending,
                        const ViewResponse& state) -> void;
  /// Forgets which objects changed up to @p version.
  auto ForgetChanges(ResourceVersion version) -> void;
  auto OnChanged(ResourceVersion version) -> void;

  std::map<std::string, StoredObject> m_objects;
  /// Version at which the objects last changed.
  ResourceVersion m_changed_at;
  /// Version at which each object last changed or was removed, for all changes
  /// after m_changes_known_since.
  std::map<std::string, ResourceVersion> m_changes;
  ResourceVersion m_changes_known_since;
  /// Encoded objects, cached on first use; empty after a change.
  std::string m_encoded;
  std::deque<PendingRequest> m_pending;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_VIEW_SERVER_H_
