#ifndef DOTTERELSHED_PLATFORM_CLIENT_H_
#define DOTTERELSHED_PLATFORM_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Client of the platform's object API: objects with versions, conditional
/// updates, lists and watches over HTTP, in the style of Kubernetes.
///
/// Functions block and are safe to call from several threads at once.

namespace dotterelshed {

/// One object. Its value is the JSON text of its "spec".
struct PlatformObject {
  std::string m_kind;
  std::string m_name;
  /// 0 in a put means: create, fail if it exists.
  ResourceVersion m_version;
  std::string m_value;
};

struct PlatformOptions {
  /// "IP:port".
  std::string m_address;
  Duration m_timeout = std::chrono::milliseconds(800);
  /// Written into each object, so that a put whose answer was lost can be
  /// recognised as our own.
  std::string m_writer;
  /// A watch without an event for this long is opened again on a new
  /// connection, since the old one may have gone silent.
  Duration m_watch_silence = std::chrono::seconds(2);
};

/// All objects of a kind, with the version to watch from.
struct PlatformList {
  ResourceVersion m_version;
  std::vector<PlatformObject> m_objects;
};

/// One change seen by a watch.
struct WatchEvent {
  bool m_deleted = false;
  PlatformObject m_object;
};

/// Reads one object. Errors: kNotFound, kUnavailable, kTimeout.
auto GetObject(const PlatformOptions& options,
               const std::string& kind,
               const std::string& name) -> Result<PlatformObject>;

/// Reads all objects of @p kind. Errors: kUnavailable, kTimeout.
auto ListObjects(const PlatformOptions& options, const std::string& kind)
    -> Result<PlatformList>;

/// Writes @p object if the stored version is still its m_version, and returns
/// the new version. After a lost answer it reads again and looks for its own
/// write. Errors: kConflict, also when the object to replace is gone; kTimeout
/// when it stays uncertain; kUnavailable when the write can't have happened;
/// kLimit when the value is too large.
auto PutObject(const PlatformOptions& options, const PlatformObject& object)
    -> Result<ResourceVersion>;

/// Deletes @p object if the stored version is still its m_version; 0 deletes
/// any version. Errors: as PutObject, and kNotFound.
auto DeleteObject(const PlatformOptions& options, const PlatformObject& object)
    -> Status;

/// Calls @p on_event for each change of @p kind after @p from, until @p stop
/// is set or @p on_event is not called any more because the platform can't be
/// reached. Silent connections are replaced without losing an event. Blocks
/// for up to m_watch_silence after @p stop was set.
/// Errors: kGone when @p from is too old and the caller must list again;
/// kUnavailable.
auto WatchObjects(const PlatformOptions& options,
                  const std::string& kind,
                  ResourceVersion from,
                  const std::atomic<bool>& stop,
                  const std::function<void(const WatchEvent&)>& on_event)
    -> Status;

/// Platform calls made by this process, by verb; a watch counts once.
struct PlatformCallCounts {
  std::int64_t m_gets = 0;
  std::int64_t m_lists = 0;
  std::int64_t m_puts = 0;
  std::int64_t m_deletes = 0;
  std::int64_t m_watches = 0;
};
auto CountPlatformCalls() -> PlatformCallCounts;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PLATFORM_CLIENT_H_
