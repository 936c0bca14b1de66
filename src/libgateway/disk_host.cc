#include "disk_host.h"

#include "dotterelshed/log_events.h"

namespace dotterelshed {

namespace {

auto StoreAddress(const EntrySettings& settings) -> TcpAddress {
  // Checked when the settings were read.
  const auto address = ParseTcpAddress(settings.m_platform_address);
  DOTTERELSHED_CHECK(address.has_value());
  return *address;
}

}  // namespace

DiskHost::DiskHost(EventLoop& loop, const EntrySettings& settings)
    : m_settings(settings),
      m_store(loop, {.m_address = StoreAddress(settings)}) {
  m_follower = std::make_shared<KindFollower>(
      loop, m_store, ObjectKind::kRetirements,
      FollowerHandlers{.m_on_listing =
                           [this](const ObjectListing& listing) {
                             for (const auto& object : listing.m_objects) {
                               TakeRetirement(object);
                             }
                           },
                       .m_on_changes =
                           [this](const ObjectChanges& changes) {
                             for (const auto& change : changes.m_changes) {
                               if (!change.m_removed) {
                                 TakeRetirement(change.m_object);
                               }
                             }
                           },
                       .m_on_reachable = [](bool /*reachable*/) {}});
}

auto DiskHost::Start() -> void {
  m_follower->Start();
  LogEvent(LogEventId::kHostStarted,
           {{"domain", m_settings.m_domain.value()}, {"role", "disk"}});
  FlushLog();
}

auto DiskHost::TakeRetirement(const StoredObject& object) -> void {
  if (object.m_name != m_settings.m_host.value() ||
      m_answered > ResourceVersion(0)) {
    return;
  }
  m_answered = object.m_version;
  m_store.SetRetirementStatus(
      object.m_name, true, [this](const Result<StoredObject>& stored) {
        LogEvent(LogEventId::kRetirementAnswered,
                 {{"outcome", stored ? "stored"
                                     : std::string(ToString(
                                           stored.error().m_code))}});
        if (!stored) {
          m_answered = ResourceVersion(0);
          m_follower->Refresh();
        }
        FlushLog();
      });
}

}  // namespace dotterelshed
