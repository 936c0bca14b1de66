#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "dotterelshed/quota_holding.h"
#include "dotterelshed/quota_ledger.h"
#include "dotterelshed/quota_term.h"

/// @file
/// Randomized test of quotas over several domains. Leads are paused, cut off,
/// replaced and killed, alone or all at once; messages are lost, doubled and
/// late; hosts sleep with tokens in hand and hold to leads that were replaced.
/// Callers ask for far more than the limit. After each use of a token, the uses
/// in the window that ends there must be within the bound.

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kRuns = 60;
constexpr Duration kStep = milliseconds(5);
constexpr Duration kRunTime = std::chrono::seconds(25);
constexpr int kHostsPerDomain = 4;
const AccountId kAccount("a");

struct Lead {
  int m_domain = 0;
  int m_claim = 0;
  bool m_stopped = false;
  TimePoint m_confirmed_at;
  std::optional<TimePoint> m_sole_from;
  /// It neither sends nor decides until then.
  TimePoint m_paused_until;
  /// Other leads and the store can't reach it until then.
  TimePoint m_cut_until;
  QuotaLedger m_ledger;
  QuotaHolding m_loans;
};

struct Host {
  int m_domain = 0;
  std::shared_ptr<Lead> m_lead;
  TimePoint m_paused_until;
  QuotaHolding m_holding;
};

struct Simulation {
  std::mt19937 m_random;
  QuotaBound m_bound;
  Quota m_quota;
  TimePoint m_now{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> m_events;
  /// Newest claim of each domain, as the store has it.
  std::vector<std::shared_ptr<Lead>> m_leads;
  std::vector<Host> m_hosts;
  std::deque<TimePoint> m_uses;
  std::size_t m_most_in_window = 0;
  /// Callers send requests; while they don't, the buckets fill.
  bool m_busy = true;
  /// Hosts use their tokens only just before these lapse.
  bool m_use_late = false;
  bool m_failures = true;

  auto Below(int count) -> int {
    return std::uniform_int_distribution<int>(0, count - 1)(m_random);
  }
  auto OneIn(int count) -> bool { return Below(count) == 0; }
  auto UpTo(Duration most) -> Duration {
    return milliseconds(Below(static_cast<int>(most / milliseconds(1)) + 1));
  }
  /// Delivers a message that may be lost, doubled or late.
  auto Send(const std::function<void()>& deliver) -> void {
    const auto doubled = m_failures && OneIn(10);
    const auto copies = m_failures && OneIn(30) ? 0 : doubled ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto late = m_failures && OneIn(30);
      m_events.emplace(m_now + UpTo(milliseconds(late ? 600 : 15)), deliver);
    }
  }
};

auto TakeOver(Simulation& sim, int domain, bool first) -> void {
  const auto before = sim.m_leads[domain];
  auto lead = std::make_shared<Lead>();
  lead->m_domain = domain;
  lead->m_claim = first ? 1 : before->m_claim + 1;
  lead->m_ledger.m_bound = sim.m_bound;
  lead->m_confirmed_at = sim.m_now;
  lead->m_sole_from = SoleFrom({.m_first = first, .m_fenced = true}, sim.m_now);
  sim.m_leads[domain] = lead;
  const auto reachable = !first && before->m_paused_until <= sim.m_now &&
                         before->m_cut_until <= sim.m_now;
  if (reachable) {
    before->m_stopped = true;
    if (const auto wait = WaitAfterHandover(before->m_sole_from, sim.m_now)) {
      lead->m_sole_from = sim.m_now + *wait;
    }
  }
  lead->m_ledger.m_sole_from = *lead->m_sole_from;
}

/// A write to the ledger succeeds while the store names the lead.
auto Confirm(Simulation& sim, const std::shared_ptr<Lead>& lead) -> void {
  const auto sent = sim.m_now;
  sim.Send([&sim, lead, sent] {
    if (sim.m_leads[lead->m_domain] == lead && lead->m_cut_until <= sim.m_now) {
      sim.Send([lead, sent] {
        lead->m_confirmed_at = std::max(lead->m_confirmed_at, sent);
      });
    }
  });
}

/// The number of tokens and the time for which they are valid.
auto Answer(Simulation& sim, Lead& lead, const QuotaAsk& ask)
    -> std::pair<int, Duration> {
  const auto usable = !lead.m_stopped && lead.m_paused_until <= sim.m_now &&
                      MayGrant(lead.m_confirmed_at, sim.m_now);
  if (!usable) {
    return {0, Duration{0}};
  }
  return {GrantTokens(lead.m_ledger, sim.m_quota, ask, sim.m_now),
          sim.m_bound.m_lease};
}

/// A lead asks another domain's lead for tokens.
auto Borrow(Simulation& sim, const std::shared_ptr<Lead>& lead) -> void {
  const auto sent = sim.m_now;
  const auto domain = sim.Below(static_cast<int>(sim.m_leads.size()));
  const auto other = sim.m_leads[domain];
  sim.Send([&sim, lead, other, sent] {
    if (other->m_cut_until > sim.m_now || lead->m_cut_until > sim.m_now) {
      return;
    }
    const auto [count, valid] =
        Answer(sim, *other, {kAccount, sim.m_failures ? sim.Below(20) : 0, 0});
    sim.Send([lead, sent, count = count, valid = valid] {
      AddTokens(lead->m_loans, count, sent + valid);
    });
  });
}

auto Ask(Simulation& sim, std::size_t host) -> void {
  const auto sent = sim.m_now;
  const auto lead = sim.m_hosts[host].m_lead;
  sim.Send([&sim, lead, host, sent] {
    auto [count, valid] =
        Answer(sim, *lead, {kAccount, 1, sim.m_failures ? sim.Below(20) : 0});
    if (const auto until =
            count > 0 || lead->m_paused_until > sim.m_now
                ? std::nullopt
                : TakeToken(lead->m_loans, sim.m_bound.m_lease, sim.m_now)) {
      count = 1;
      valid = *until - sim.m_now;
    }
    sim.Send([&sim, host, sent, count = count, valid = valid] {
      AddTokens(sim.m_hosts[host].m_holding, count, sent + valid);
    });
  });
}

auto Use(Simulation& sim, Host& host) -> void {
  const auto ready = [&sim, &host] {
    const auto& batches = host.m_holding.m_batches;
    return !sim.m_use_late || batches.empty() ||
           batches.front().m_until - sim.m_now < 3 * kStep;
  };
  while (ready() && TakeToken(host.m_holding, sim.m_bound.m_lease, sim.m_now)) {
    sim.m_uses.push_back(sim.m_now);
  }
  while (!sim.m_uses.empty() &&
         sim.m_now - sim.m_uses.front() > sim.m_bound.m_window) {
    sim.m_uses.pop_front();
  }
  sim.m_most_in_window = std::max(sim.m_most_in_window, sim.m_uses.size());
}

auto KillAll(Simulation& sim) -> void {
  for (auto& host : sim.m_hosts) {
    host.m_holding = {};
  }
  for (std::size_t domain = 0; domain < sim.m_leads.size(); ++domain) {
    sim.m_leads[domain]->m_stopped = true;
    // A dead lead answers no announcement.
    sim.m_leads[domain]->m_cut_until = TimePoint::max();
    TakeOver(sim, static_cast<int>(domain), false);
  }
}

/// Pauses a lead or cuts it off from the store and the other leads; another
/// host replaces it soon. Its own hosts may still reach it.
auto Disturb(Simulation& sim) -> void {
  const auto domain = sim.Below(static_cast<int>(sim.m_leads.size()));
  auto& lead = *sim.m_leads[domain];
  if (sim.OneIn(300)) {
    auto& until = sim.OneIn(3) ? lead.m_paused_until : lead.m_cut_until;
    until = sim.m_now + sim.UpTo(std::chrono::seconds(8));
    sim.m_events.emplace(sim.m_now + sim.UpTo(std::chrono::seconds(2)),
                         [&sim, domain] {
                           TakeOver(sim, domain, false);
                           if (sim.OneIn(2)) {
                             TakeOver(sim, domain, false);
                           }
                         });
  }
  if (sim.OneIn(2000)) {
    TakeOver(sim, domain, false);
  }
  if (sim.OneIn(5000)) {
    KillAll(sim);
  }
}

auto ChangeHosts(Simulation& sim) -> void {
  auto& host = sim.m_hosts[sim.Below(static_cast<int>(sim.m_hosts.size()))];
  if (sim.OneIn(100)) {
    host.m_paused_until = sim.m_now + sim.UpTo(milliseconds(2000));
  }
  if (sim.OneIn(10)) {
    host.m_lead = sim.m_leads[host.m_domain];
  }
  if (sim.OneIn(300)) {
    sim.m_busy = !sim.m_busy;
  }
  if (sim.OneIn(300)) {
    sim.m_use_late = !sim.m_use_late;
  }
}

auto Step(Simulation& sim) -> void {
  sim.m_now += kStep;
  if (sim.m_failures) {
    Disturb(sim);
    ChangeHosts(sim);
  }
  while (!sim.m_events.empty() && sim.m_events.begin()->first <= sim.m_now) {
    const auto deliver = sim.m_events.begin()->second;
    sim.m_events.erase(sim.m_events.begin());
    deliver();
  }
  for (std::size_t i = 0; i < sim.m_hosts.size(); ++i) {
    // Replaced leads go on asking and confirming until they notice.
    const auto lead = sim.m_hosts[i].m_lead;
    if (sim.OneIn(20)) {
      Confirm(sim, lead);
      Borrow(sim, lead);
    }
    if (sim.m_busy && sim.m_hosts[i].m_paused_until <= sim.m_now) {
      Ask(sim, i);
      Use(sim, sim.m_hosts[i]);
    }
  }
}

auto MakeSimulation(unsigned seed) -> Simulation {
  Simulation sim{.m_random = std::mt19937(seed)};
  sim.m_bound.m_domains = 3 + sim.Below(7);
  const auto large = sim.OneIn(2);
  sim.m_quota = {.m_rate = large ? 400.0 : 1.0 + sim.Below(8),
                 .m_burst = static_cast<double>(sim.Below(large ? 300 : 8))};
  sim.m_leads.resize(sim.m_bound.m_domains);
  for (int domain = 0; domain < sim.m_bound.m_domains; ++domain) {
    TakeOver(sim, domain, true);
    for (int i = 0; i < kHostsPerDomain; ++i) {
      sim.m_hosts.push_back(
          {.m_domain = domain, .m_lead = sim.m_leads[domain]});
    }
  }
  return sim;
}

auto MostAllowed(const Simulation& sim) -> double {
  const auto window = ToSeconds(sim.m_bound.m_window);
  return (sim.m_quota.m_rate * window + sim.m_quota.m_burst) *
             (1 + sim.m_bound.m_over) +
         sim.m_bound.m_slack;
}

TEST_CASE("no window has more requests than the bound, whatever fails") {
  for (unsigned seed = 0; seed < kRuns; ++seed) {
    auto sim = MakeSimulation(seed);
    const auto most = MostAllowed(sim);
    const auto end = sim.m_now + kRunTime;
    while (sim.m_now < end) {
      Step(sim);
      INFO("seed " << seed << ", rate " << sim.m_quota.m_rate << ", domains "
                   << sim.m_bound.m_domains);
      REQUIRE(static_cast<double>(sim.m_most_in_window) <= most);
    }
  }
}

TEST_CASE("without failures the limit is used, wherever requests enter") {
  for (unsigned seed = 0; seed < kRuns / 4; ++seed) {
    auto sim = MakeSimulation(seed);
    sim.m_failures = false;
    const auto end = sim.m_now + kRunTime;
    while (sim.m_now < end) {
      Step(sim);
    }
    const auto limit = sim.m_quota.m_rate * ToSeconds(sim.m_bound.m_window);
    INFO("seed " << seed);
    CHECK(static_cast<double>(sim.m_most_in_window) >= limit);
    CHECK(static_cast<double>(sim.m_most_in_window) <= MostAllowed(sim));
  }
}

}  // namespace
}  // namespace dotterelshed
