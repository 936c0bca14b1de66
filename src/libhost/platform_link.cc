#include "platform_link.h"

#include <condition_variable>
#include <mutex>
#include <utility>

#include "dotterelshed/config_text.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/metrics.h"
#include "dotterelshed/platform_codec.h"

namespace dotterelshed::pvt {

namespace {

/// Pause between two tries to list a kind that could not be watched.
constexpr auto kWatchRetry = std::chrono::milliseconds(250);
/// Tries to write a status against other writers.
constexpr int kStatusTries = 3;

auto TableName(const DomainId& domain) -> std::string {
  return domain.value();
}

auto DecodeTableObject(const PlatformObject& object) -> Result<DomainTable> {
  auto table = DecodeDomainTable(object.m_value);
  if (table) {
    table->m_version = object.m_version;
  }
  return table;
}

auto DecodeLaneObject(const PlatformObject& object)
    -> Result<ClaimShardObject> {
  auto lane = DecodeLane(object.m_value);
  if (lane) {
    lane->m_version = object.m_version;
  }
  return lane;
}

}  // namespace

/// The watches of one term as lead.
struct PlatformLink::WatchSet {
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex;
  std::condition_variable m_stopped;
  std::vector<std::thread> m_threads;

  auto Stop() -> void {
    {
      const std::lock_guard lock(m_mutex);
      m_stop = true;
    }
    m_stopped.notify_all();
  }

  auto Pause() -> void {
    std::unique_lock lock(m_mutex);
    m_stopped.wait_for(lock, kWatchRetry, [this] { return m_stop.load(); });
  }

  auto Join() -> void {
    for (auto& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }
};

PlatformLink::~PlatformLink() {
  Stop();
}

template <typename T>
auto PlatformLink::Noted(Result<T> result) -> Result<T> {
  const auto lost =
      !result && (result.error().m_code == ErrorCode::kUnavailable ||
                  result.error().m_code == ErrorCode::kTimeout);
  NoteReachable(!lost);
  return result;
}

auto PlatformLink::NoteReachable(bool reachable) -> void {
  SetMetric(MetricId::kPlatformReachable, reachable ? 1 : 0);
  if (m_reachable.exchange(reachable) != reachable) {
    LogEvent(reachable ? LogEventId::kPlatformBack : LogEventId::kPlatformLost,
             {{"address", m_options.m_address}});
  }
}

auto PlatformLink::Do(const ReadTable& effect) -> void {
  m_workers.Run([this, effect] {
    auto table = Noted(GetObject(m_options, std::string(kDomainTableKind),
                                 TableName(effect.m_domain)))
                     .and_then(DecodeTableObject);
    m_core.Post(TableArrived{effect.m_domain, std::move(table), false});
  });
}

auto PlatformLink::Do(const PutTable& effect) -> void {
  m_workers.Run([this, effect] {
    const auto version = Noted(
        PutObject(m_options, {.m_kind = std::string(kDomainTableKind),
                              .m_name = TableName(effect.m_table.m_domain),
                              .m_version = effect.m_table.m_version,
                              .m_value = EncodeDomainTable(effect.m_table)}));
    TableArrived event{effect.m_table.m_domain, effect.m_table, true};
    if (version) {
      event.m_table->m_version = *version;
    } else {
      event.m_table = tl::unexpected<Error>(version.error());
    }
    m_core.Post(std::move(event));
  });
}

auto PlatformLink::Do(const ReadClaimShard& effect) -> void {
  m_workers.Run([this, effect] {
    auto lane = Noted(GetObject(m_options, std::string(kLaneKind),
                                effect.m_shard.value()))
                    .and_then(DecodeLaneObject);
    m_core.Post(ClaimShardArrived{effect.m_shard, std::move(lane), false});
  });
}

auto PlatformLink::Do(const PutClaimShard& effect) -> void {
  m_workers.Run([this, effect] {
    const auto& lane = effect.m_shard_object;
    const auto version =
        Noted(PutObject(m_options, {.m_kind = std::string(kLaneKind),
                                    .m_name = lane.m_shard.value(),
                                    .m_version = lane.m_version,
                                    .m_value = EncodeLane(lane)}));
    ClaimShardArrived event{lane.m_shard, lane, true};
    if (version) {
      event.m_shard_object->m_version = *version;
    } else {
      event.m_shard_object = tl::unexpected<Error>(version.error());
    }
    m_core.Post(std::move(event));
  });
}

auto PlatformLink::Do(const DeleteClaimShard& effect) -> void {
  m_workers.Run([this, effect] {
    // A lane that stays is found and deleted at the next retention round.
    std::ignore =
        Noted(DeleteObject(m_options, {.m_kind = std::string(kLaneKind),
                                       .m_name = effect.m_shard.value()}));
  });
}

auto PlatformLink::Do(const ReadConfig& /*effect*/) -> void {
  m_workers.Run([this] {
    const auto object = Noted(GetObject(m_options, std::string(kConfigKind),
                                        std::string(kConfigName)));
    if (object) {
      OnConfigObject(*object);
    }
  });
}

auto PlatformLink::Do(const PutStatus& effect) -> void {
  m_workers.Run([this, effect] {
    const auto kind = std::string(kDomainStatusKind);
    const auto name = effect.m_status.m_domain.value();
    const auto value = EncodeDomainStatus(effect.m_status);
    for (auto tries = 0; tries < kStatusTries; ++tries) {
      const auto old = Noted(GetObject(m_options, kind, name));
      if (!old && old.error().m_code != ErrorCode::kNotFound) {
        return;
      }
      const auto version = old ? old->m_version : ResourceVersion(0);
      const auto put = Noted(PutObject(m_options, {.m_kind = kind,
                                                   .m_name = name,
                                                   .m_version = version,
                                                   .m_value = value}));
      if (put || put.error().m_code != ErrorCode::kConflict) {
        return;
      }
    }
  });
}

auto PlatformLink::Do(const SetLeadDuty& effect) -> void {
  if (!effect.m_active) {
    if (auto watches = std::exchange(m_watches, nullptr)) {
      watches->Stop();
      m_workers.Run([watches] { watches->Join(); });
    }
    return;
  }
  if (!m_watches) {
    StartWatches();
  }
}

auto PlatformLink::Stop() -> void {
  if (auto watches = std::exchange(m_watches, nullptr)) {
    watches->Stop();
    watches->Join();
  }
}

auto PlatformLink::StartWatches() -> void {
  m_watches = std::make_shared<WatchSet>();
  const auto add = [this](std::string_view kind, OnObject on_object) {
    m_watches->m_threads.emplace_back([this, watches = m_watches.get(),
                                       kind = std::string(kind),
                                       on_object = std::move(on_object)] {
      while (!watches->m_stop) {
        WatchKind(kind, on_object, watches->m_stop);
        watches->Pause();
      }
    });
  };
  add(kConfigKind, [this](const auto& object) { OnConfigObject(object); });
  add(kDomainTableKind, [this](const auto& object) { OnTableObject(object); });
  add(kHostKind, [this](const PlatformObject& object) {
    if (const auto listed = DecodeListedNode(object.m_value)) {
      m_core.Post(HostListingChanged{HostId(object.m_name), listed->m_leaving});
    }
  });
  add(kEndpointKind, [this](const PlatformObject& object) {
    if (const auto listed = DecodeListedNode(object.m_value)) {
      m_core.Post(
          EndpointListingChanged{EndpointId(object.m_name), listed->m_leaving});
    }
  });
}

auto PlatformLink::WatchKind(const std::string& kind,
                             const OnObject& on_object,
                             const std::atomic<bool>& stop) -> void {
  const auto list = Noted(ListObjects(m_options, kind));
  if (!list) {
    return;
  }
  for (const auto& object : list->m_objects) {
    on_object(object);
  }
  // Any error leads to a new list.
  std::ignore = WatchObjects(m_options, kind, list->m_version, stop,
                             [&on_object](const WatchEvent& event) {
                               if (!event.m_deleted) {
                                 on_object(event.m_object);
                               }
                             });
}

auto PlatformLink::OnConfigObject(const PlatformObject& object) -> void {
  const auto stored = DecodeStoredConfig(object.m_value);
  if (!stored) {
    LogEvent(LogEventId::kConfigRejected,
             {{"reason", stored.error().m_message}});
    return;
  }
  auto check = CheckConfigText(stored->m_text, stored->m_generation);
  if (!check.ok()) {
    LogEvent(LogEventId::kConfigRejected,
             {{"generation", std::to_string(stored->m_generation.value())},
              {"problem", FormatProblem(check.m_problems.front(), "text")}});
    return;
  }
  m_core.Post(ConfigArrived{
      std::make_shared<const DeskConfig>(std::move(check.m_config)),
      stored->m_text});
}

auto PlatformLink::OnTableObject(const PlatformObject& object) -> void {
  if (auto table = DecodeTableObject(object)) {
    const auto domain = table->m_domain;
    m_core.Post(TableArrived{domain, std::move(table), false});
  }
}

}  // namespace dotterelshed::pvt
