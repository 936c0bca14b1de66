#ifndef DOTTERELSHED_LINK_MONITOR_H_
#define DOTTERELSHED_LINK_MONITOR_H_

#include <functional>
#include <utility>

#include "entry_context.h"

/// @file
/// Checks whether this host reaches endpoints, as endpoint_link.h decides, by
/// connecting to some of them.

namespace dotterelshed {

class LinkMonitor {
 public:
  /// Receives true when the links are lost, false when they are back.
  using ChangeHandler = std::function<void(bool)>;

  LinkMonitor(EntryContext& context, ChangeHandler on_change)
      : m_context(context), m_on_change(std::move(on_change)) {}

  /// Begins a check if one is due; call several times per second.
  auto Tick(TimePoint now) -> void;

 private:
  /// Connections of one check.
  struct Check {
    LinkCheck m_result;
    int m_open = 0;
  };

  auto BeginCheck(TimePoint now) -> void;
  auto EndCheck(const LinkCheck& result) -> void;
  /// Forgets what failed on this host's own links, which says nothing about the
  /// endpoints.
  auto ForgetOwnFailures() -> void;

  EntryContext& m_context;
  ChangeHandler m_on_change;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LINK_MONITOR_H_
