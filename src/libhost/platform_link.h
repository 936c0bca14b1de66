#ifndef DOTTERELSHED_LIBHOST_PLATFORM_LINK_H_
#define DOTTERELSHED_LIBHOST_PLATFORM_LINK_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core_runner.h"
#include "dotterelshed/core_effects.h"
#include "dotterelshed/platform_client.h"
#include "worker_threads.h"

/// @file
/// Carries out what the core asks of the platform, and watches it while this
/// host is its domain's lead.

namespace dotterelshed::pvt {

class PlatformLink {
 public:
  PlatformLink(CoreRunner& core,
               WorkerThreads& workers,
               PlatformOptions options)
      : m_core(core), m_workers(workers), m_options(std::move(options)) {}
  PlatformLink(const PlatformLink&) = delete;
  auto operator=(const PlatformLink&) -> PlatformLink& = delete;
  ~PlatformLink();

  auto Do(const ReadTable& effect) -> void;
  auto Do(const PutTable& effect) -> void;
  auto Do(const ReadClaimShard& effect) -> void;
  auto Do(const PutClaimShard& effect) -> void;
  auto Do(const DeleteClaimShard& effect) -> void;
  auto Do(const ReadConfig& effect) -> void;
  auto Do(const PutStatus& effect) -> void;
  auto Do(const SetLeadDuty& effect) -> void;

  /// Ends all watches.
  auto Stop() -> void;

 private:
  using OnObject = std::function<void(const PlatformObject& object)>;
  struct WatchSet;

  auto StartWatches() -> void;
  /// Lists and watches one kind until @p stop is set.
  auto WatchKind(const std::string& kind,
                 const OnObject& on_object,
                 const std::atomic<bool>& stop) -> void;
  auto OnConfigObject(const PlatformObject& object) -> void;
  auto OnTableObject(const PlatformObject& object) -> void;
  auto NoteReachable(bool reachable) -> void;
  /// Wraps the outcome of a call for NoteReachable.
  template <typename T>
  auto Noted(Result<T> result) -> Result<T>;

  CoreRunner& m_core;
  WorkerThreads& m_workers;
  const PlatformOptions m_options;
  std::atomic<bool> m_reachable = true;
  std::shared_ptr<WatchSet> m_watches;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_PLATFORM_LINK_H_
