#include "dotterelshed/copy_rule.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Hosts and domains that hold, or could hold, copies of a turn.
struct Spread {
  std::size_t m_hosts = 0;
  std::set<DomainId> m_domains;
};

template <typename Counts>
auto CountSpread(const ReplicaView& view, const Counts& counts) -> Spread {
  Spread spread;
  for (const auto& host : view.m_hosts) {
    if (counts(host)) {
      ++spread.m_hosts;
      spread.m_domains.insert(host.m_domain);
    }
  }
  return spread;
}

auto OneMoreThan(int lost) -> std::size_t {
  return static_cast<std::size_t>(lost) + 1;
}

auto IsEnough(const CopyRule& rule,
              const ReplicaView& view,
              const Spread& copies) -> bool {
  const auto members = CountSpread(view, TakesTurns);
  const auto hosts = OneMoreThan(rule.m_lost_hosts);
  if (rule.m_lost_domains && copies.m_hosts >= hosts && IsCutOff(view)) {
    return true;
  }
  const auto domains =
      OneMoreThan(rule.m_lost_domains.value_or(rule.m_lost_hosts));
  const auto enough_hosts =
      copies.m_hosts >= std::clamp(members.m_hosts, std::size_t{1}, hosts);
  const auto enough_domains =
      copies.m_domains.size() >=
      std::clamp(members.m_domains.size(), std::size_t{1}, domains);
  // Without a bound for domains, copies in more of them than hosts may be lost
  // are all that is asked for.
  return enough_domains && (enough_hosts || !rule.m_lost_domains);
}

auto Holds(const std::vector<ReplicaHost>& hosts, const HostId& host) -> bool {
  return std::any_of(
      hosts.begin(), hosts.end(),
      [&host](const ReplicaHost& one) { return one.m_host == host; });
}

auto CountAnswering(const ReplicaView& view,
                    const std::vector<ReplicaHost>& hosts) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      hosts.begin(), hosts.end(), [&view](const ReplicaHost& host) {
        return !view.m_failing.contains(host.m_host);
      }));
}

/// Adds hosts that answer, one of each further domain first, until @p wanted of
/// all answer or there are no more.
auto AddAnswering(const ReplicaView& view,
                  const ProgramId& program,
                  std::size_t wanted,
                  std::vector<ReplicaHost>& chosen) -> void {
  auto rest = view.m_hosts;
  while (CountAnswering(view, chosen) < wanted) {
    std::erase_if(rest, [&](const ReplicaHost& host) {
      return view.m_failing.contains(host.m_host) || Holds(chosen, host.m_host);
    });
    auto fresh = rest;
    std::erase_if(fresh, [&chosen](const ReplicaHost& host) {
      return std::any_of(chosen.begin(), chosen.end(),
                         [&host](const ReplicaHost& one) {
                           return one.m_domain == host.m_domain;
                         });
    });
    const auto next = ChooseReplicas(fresh.empty() ? rest : fresh, program, {});
    if (next.empty()) {
      return;
    }
    chosen.push_back(next.front());
  }
}

}  // namespace

auto RequiredHosts(const CopyRule& rule) -> std::size_t {
  return OneMoreThan(rule.m_lost_hosts);
}

auto TakesTurns(const ReplicaHost& host) -> bool {
  return !host.m_leaving && !host.m_drained;
}

auto IsCutOff(const ReplicaView& view) -> bool {
  const auto outside = CountSpread(view, [&view](const ReplicaHost& host) {
    return !host.m_drained && host.m_domain != view.m_domain;
  });
  const auto answering = CountSpread(view, [&view](const ReplicaHost& host) {
    return !host.m_drained && host.m_domain != view.m_domain &&
           !view.m_failing.contains(host.m_host);
  });
  return outside.m_hosts > 0 && answering.m_hosts == 0;
}

auto IsStored(const CopyRule& rule,
              const ReplicaView& view,
              const std::set<HostId>& copies) -> bool {
  return IsEnough(rule, view,
                  CountSpread(view, [&copies](const ReplicaHost& host) {
                    return copies.contains(host.m_host);
                  }));
}

auto CanStore(const CopyRule& rule, const ReplicaView& view) -> bool {
  return IsEnough(
      rule, view, CountSpread(view, [&view](const ReplicaHost& host) {
        return TakesTurns(host) && !view.m_failing.contains(host.m_host);
      }));
}

auto ChooseTargets(const CopyRule& rule,
                   const ReplicaView& view,
                   const ProgramId& program) -> CopyTargets {
  CopyTargets targets{
      .m_hosts = ChooseReplicas(view.m_hosts, program, view.m_failing)};
  if (rule.m_lost_domains) {
    AddAnswering(view, program, OneMoreThan(rule.m_lost_hosts),
                 targets.m_hosts);
  }
  const auto own = ChooseReplicas(view.m_hosts, program, {});
  for (const auto& host : targets.m_hosts) {
    if (!Holds(own, host.m_host)) {
      targets.m_substitutes.insert(host.m_host);
    }
  }
  return targets;
}

auto IsResponsible(const std::vector<ReplicaHost>& hosts,
                   const HostId& host,
                   const ProgramId& program,
                   const std::set<HostId>& substitutes) -> bool {
  return substitutes.contains(host) ||
         Holds(ChooseReplicas(hosts, program, {}), host);
}

}  // namespace dotterelshed
