#ifndef DOTTERELSHED_VIEW_SERVER_H_
#define DOTTERELSHED_VIEW_SERVER_H_

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "view_messages.h"

/// @file
/// The objects of one kind as a host knows them, and the other hosts that wait
/// to be told of changes.

namespace dotterelshed {

class ViewServer {
 public:
  /// Gets a body to answer with, or an error when this host doesn't know.
  using ResponseCallback = std::function<void(const Result<std::string>&)>;

  /// Takes a complete listing.
  auto Replace(const std::vector<StoredObject>& objects,
               ResourceVersion version) -> void;
  /// Takes what has changed.
  auto Apply(const ObjectChanges& changes) -> void;

  /// Keeps a question until Tell, Drop or @p until. @p state is the view's at
  /// present; a question about older objects is answered at once.
  auto AddRequest(const ViewRequest& request,
                  const ViewResponse& state,
                  TimePoint until,
                  ResponseCallback respond) -> void;
  /// Answers those that have waited for long enough.
  auto RespondToDue(const ViewResponse& state, TimePoint now) -> void;
  /// Answers all that wait: the view is complete as @p state says.
  auto RespondToAll(const ViewResponse& state) -> void;
  /// Answers all that wait with an error: the view can't be vouched for.
  auto FailAll(const Error& error) -> void;

 private:
  struct PendingRequest {
    ResourceVersion m_version;
    TimePoint m_until;
    ResponseCallback m_respond;
  };

  auto Respond(const PendingRequest& pending, const ViewResponse& state)
      -> void;
  auto OnChanged(ResourceVersion version) -> void;

  std::map<std::string, StoredObject> m_objects;
  /// Version at which the objects last changed.
  ResourceVersion m_changed_at;
  /// The objects, encoded when first asked for.
  std::string m_encoded;
  std::deque<PendingRequest> m_pending;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_VIEW_SERVER_H_
