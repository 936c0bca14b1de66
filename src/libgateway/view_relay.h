#ifndef DOTTERELSHED_VIEW_RELAY_H_
#define DOTTERELSHED_VIEW_RELAY_H_

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

class ViewRelay {
 public:
  /// Gets a body to answer with, or an error when this host doesn't know.
  using Answered = std::function<void(const Result<std::string>&)>;

  /// Takes a complete listing.
  auto Replace(const std::vector<StoredObject>& objects,
               ResourceVersion version) -> void;
  /// Takes what has changed.
  auto Apply(const ObjectChanges& changes) -> void;

  /// Keeps a question until Tell, Drop or @p until. @p state is the view's at
  /// present; a question about older objects is answered at once.
  auto Ask(const ViewQuestion& question,
           const ViewAnswer& state,
           TimePoint until,
           Answered answered) -> void;
  /// Answers those that have waited for long enough.
  auto TellDue(const ViewAnswer& state, TimePoint now) -> void;
  /// Answers all that wait: the view is complete as @p state says.
  auto Tell(const ViewAnswer& state) -> void;
  /// Answers all that wait with an error: the view can't be vouched for.
  auto Drop(const Error& error) -> void;

 private:
  struct Waiting {
    ResourceVersion m_version;
    TimePoint m_until;
    Answered m_answered;
  };

  auto AnswerOne(const Waiting& waiting, const ViewAnswer& state) -> void;
  auto Changed(ResourceVersion version) -> void;

  std::map<std::string, StoredObject> m_objects;
  /// Version at which the objects last changed.
  ResourceVersion m_changed;
  /// The objects, encoded when first asked for.
  std::string m_encoded;
  std::deque<Waiting> m_waiting;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_VIEW_RELAY_H_
