#ifndef DOTTERELSHED_DISK_HOST_H_
#define DOTTERELSHED_DISK_HOST_H_

#include <memory>

#include "entry_settings.h"
#include "kind_follower.h"
#include "platform/object_store.h"

/// @file
/// The process on a host with a disk. It keeps nothing there, so it can tell
/// the platform at once that the host may be taken away.

namespace dotterelshed {

class DiskHost {
 public:
  DiskHost(EventLoop& loop, const EntrySettings& settings);

  auto Start() -> void;

 private:
  auto TakeRetirement(const StoredObject& object) -> void;

  EntrySettings m_settings;
  ObjectStore m_store;
  std::shared_ptr<KindFollower> m_follower;
  /// Version of the request that has been answered.
  ResourceVersion m_answered;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_DISK_HOST_H_
