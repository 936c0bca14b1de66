#include "lead/journal_hosts.h"

#include <algorithm>
#include <utility>

namespace dotterelshed {

namespace {

/// A disk host that fails for this time is left out; one that restarts is back
/// sooner.
constexpr Duration kLeftOutAfter = std::chrono::seconds(2);

auto IsLeftOut(const JournalHost& host, TimePoint now) -> bool {
  return host.m_failing_since && now - *host.m_failing_since >= kLeftOutAfter;
}

/// Returns those of @p named that a reader has to meet: a drained host
/// confirmed that nothing on it is needed.
auto WithoutDrained(const JournalHosts& hosts, std::set<HostId> named)
    -> std::set<HostId> {
  std::erase_if(named, [&hosts](const HostId& host) {
    const auto found = hosts.find(host);
    return found != hosts.end() && found->second.m_drained;
  });
  return named;
}

auto Listed(const JournalHosts& hosts) -> std::set<HostId> {
  std::set<HostId> listed;
  for (const auto& [id, host] : hosts) {
    listed.insert(id);
  }
  return listed;
}

}  // namespace

auto TakeListedHosts(JournalHosts& hosts,
                     const std::vector<ReplicaHost>& listed) -> void {
  JournalHosts taken;
  for (const auto& entry : listed) {
    JournalHost host{.m_address = entry.m_address,
                     .m_drained = entry.m_drained};
    const auto known = hosts.find(entry.m_host);
    if (known != hosts.end() && known->second.m_address == entry.m_address) {
      host.m_failing_since = known->second.m_failing_since;
    }
    taken.insert_or_assign(entry.m_host, std::move(host));
  }
  hosts = std::move(taken);
}

auto NoteJournalCall(JournalHosts& hosts,
                     const HostId& host,
                     bool answered,
                     TimePoint now) -> void {
  const auto found = hosts.find(host);
  if (found == hosts.end()) {
    return;
  }
  auto& since = found->second.m_failing_since;
  since = answered ? std::nullopt : std::optional(since.value_or(now));
}

auto ChooseJournalHosts(const JournalHosts& hosts, int copies, TimePoint now)
    -> std::set<HostId> {
  std::set<HostId> chosen;
  std::vector<std::pair<TimePoint, HostId>> left_out;
  for (const auto& [id, host] : hosts) {
    if (host.m_drained) {
      continue;
    }
    if (IsLeftOut(host, now)) {
      left_out.emplace_back(*host.m_failing_since, id);
    } else {
      chosen.insert(id);
    }
  }
  std::sort(left_out.rbegin(), left_out.rend());
  for (const auto& [since, id] : left_out) {
    if (static_cast<int>(chosen.size()) >= copies) {
      break;
    }
    chosen.insert(id);
  }
  return chosen;
}

auto CopiesNeeded(std::size_t hosts, int wanted) -> int {
  return std::min(static_cast<int>(hosts), wanted);
}

auto NoteNamesSent(JournalTarget& target,
                   const std::set<HostId>& hosts,
                   int wanted) -> void {
  target.m_sent = hosts;
  std::erase_if(target.m_hosts,
                [&hosts](const HostId& host) { return !hosts.contains(host); });
  target.m_copies =
      std::max(target.m_copies, CopiesNeeded(hosts.size(), wanted));
}

auto NoteNamesStored(JournalTarget& target, int wanted) -> void {
  target.m_hosts = target.m_sent;
  target.m_copies = CopiesNeeded(target.m_sent.size(), wanted);
}

auto IsReadComplete(const JournalHosts& hosts,
                    const JournalScope& scope,
                    const std::set<HostId>& answered,
                    int wanted) -> bool {
  const auto needed = WithoutDrained(hosts, scope ? *scope : Listed(hosts));
  const auto missing = std::count_if(
      needed.begin(), needed.end(),
      [&answered](const HostId& host) { return !answered.contains(host); });
  return needed.empty() || missing < CopiesNeeded(needed.size(), wanted);
}

}  // namespace dotterelshed
