#ifndef DOTTERELSHED_STREAM_ORIGINS_H_
#define DOTTERELSHED_STREAM_ORIGINS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// The software versions at which streams began, by the caller's attempt that
/// brought the first event. What two versions write doesn't fit together, so a
/// caller that takes up a stream must be sent to the version that began it. A
/// version is kept for as long as the caller may come back, and the oldest are
/// dropped beyond a fixed number. See docs/design/stream-versions.md.

namespace dotterelshed {

/// Most streams that one host keeps.
inline constexpr std::size_t kMaxStreamOrigins = 50000;

struct StreamOrigin {
  SoftwareVersion m_software;
  TimePoint m_expires;
};

struct StreamOrigins {
  std::map<RequestId, StreamOrigin> m_by_attempt;
  /// In the order in which they were added.
  std::deque<RequestId> m_order;
};

/// Keeps the version at which a stream began. One that is already known stays
/// as it is.
auto AddOrigin(StreamOrigins& origins,
               const RequestId& attempt,
               const StreamOrigin& origin,
               TimePoint now) -> void;

/// Returns the version at which a stream began, or nothing if it isn't known.
auto FindOrigin(const StreamOrigins& origins,
                const RequestId& attempt,
                TimePoint now) -> std::optional<SoftwareVersion>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_STREAM_ORIGINS_H_
