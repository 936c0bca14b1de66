#ifndef DOTTERELSHED_TEST_PROCESS_H_
#define DOTTERELSHED_TEST_PROCESS_H_

#include <catch2/catch.hpp>
#include <memory>

#include "entry_host.h"
#include "history/disk_host.h"

/// @file
/// A host whose process can end, for tests.

namespace dotterelshed {

/// A host with an event loop of its own. At its end its connections are closed
/// and pending handlers are dropped, as at the end of a process.
struct HostProcess {
  EntrySettings m_settings;
  std::unique_ptr<EventLoop> m_loop;
  std::unique_ptr<EntryHost> m_entry;
  std::unique_ptr<DiskHost> m_disk;
  bool m_stopping = false;

  auto running() const -> bool { return m_loop != nullptr; }

  auto Start() -> void {
    m_loop = std::make_unique<EventLoop>(1);
    if (m_settings.m_role == HostRole::kDisk) {
      m_disk = std::make_unique<DiskHost>(*m_loop, m_settings);
      REQUIRE(m_disk->Start());
    } else {
      m_entry = std::make_unique<EntryHost>(*m_loop, m_settings);
      REQUIRE(m_entry->Start());
    }
  }

  /// Does what the process has to do now; it ends if it has stopped.
  auto Run() -> void {
    if (!running()) {
      return;
    }
    m_loop->poll();
    if (m_loop->stopped()) {
      REQUIRE(m_stopping);
      Kill();
    }
  }

  /// SIGTERM.
  auto Stop() -> void {
    m_stopping = true;
    if (m_entry) {
      m_entry->Stop();
    } else {
      m_disk->BeginStop([this] { m_loop->stop(); });
    }
  }

  auto Kill() -> void {
    m_entry.reset();
    m_disk.reset();
    m_loop.reset();
    m_stopping = false;
  }
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TEST_PROCESS_H_
