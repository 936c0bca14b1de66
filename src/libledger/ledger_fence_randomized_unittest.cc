#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dotterelshed/program_ledger.h"

/// @file
/// Randomized test of two domains' leads whose programs send turns to both.
/// Either lead may miss an answer of the other and then fences its ledger;
/// writes fail and are delayed. After each step no program may have been
/// granted more than its budget plus one turn's maximum.

namespace dotterelshed {
namespace {

constexpr unsigned kRuns = 4000;
constexpr int kSteps = 150;
constexpr int kPrograms = 3;
constexpr Tokens kTurnMax(10);

/// The store's object of a domain.
struct Stored {
  LedgerRecord m_record;
  int m_fence = 0;
  int m_version = 0;
};

/// A conditional write in progress.
struct Write {
  LedgerRecord m_record;
  int m_expected = 0;
  int m_fence = 0;
};

struct Domain {
  Stored m_stored;
  ProgramLedger m_ledger;
  int m_fence = 0;
  int m_version = 0;
  std::optional<Write> m_write;
  /// Record in the journals of disk hosts, which never fail here.
  LedgerRecord m_journaled;
  /// This lead has fenced the other.
  bool m_fenced_other = false;
  /// Programs whose account the other domain keeps.
  std::set<std::string> m_other_has;
};

struct Simulation {
  std::mt19937 m_random;
  TimePoint m_now{std::chrono::seconds(100)};
  std::array<Domain, 2> m_domains;
  std::map<std::string, Tokens> m_granted;
  /// Reads of the store fail at times, which makes accounts unverified.
  bool m_store_fails = false;
  /// Records are also written to the journals of disk hosts.
  bool m_journal = false;
  /// All leads lose their memory at once at times.
  bool m_power_fails = false;
  /// A lead is replaced at times and its memory is lost.
  bool m_leads_fail = false;
  /// Programs pause at times for longer than the advance lease.
  bool m_programs_pause = false;
  int m_requests = 0;

  auto Draw(int below) -> int {
    return static_cast<int>(m_random() % static_cast<unsigned>(below));
  }
};

auto BudgetOf(const std::string& program) -> Tokens {
  return kTurnMax * (program.back() - '0' + 1);
}

/// Looks for the program's account; returns nothing if the other domain keeps
/// it.
auto FindAccount(Simulation& sim, int index, const std::string& program)
    -> std::optional<GrantConditions> {
  auto& own = sim.m_domains[index];
  auto& other = sim.m_domains[1 - index];
  const ProgramId id(program);
  const auto answered = sim.Draw(2) == 0;
  if (answered) {
    const auto unverified_here = own.m_ledger.m_accounts.contains(id);
    const auto other_claims = HasVerifiedAccount(other.m_ledger, id) ||
                              (other.m_ledger.m_accounts.contains(id) &&
                               (index == 1 || !unverified_here));
    if (other_claims) {
      own.m_other_has.insert(program);
      return std::nullopt;
    }
    other.m_other_has.insert(program);
    const auto lost = AdvanceWaitLeft(other.m_ledger, sim.m_now) > Duration{0};
    return GrantConditions{.m_other_advance = lost};
  }
  const auto store_reached = !sim.m_store_fails || sim.Draw(4) > 0;
  if (!store_reached) {
    return GrantConditions{.m_unverified = true};
  }
  if (!own.m_fenced_other) {
    ++other.m_stored.m_fence;
    ++other.m_stored.m_version;
    own.m_fenced_other = true;
  }
  if (other.m_stored.m_record.m_bounds.contains(id)) {
    own.m_other_has.insert(program);
    return std::nullopt;
  }
  return GrantConditions{.m_other_advance = true};
}

auto RequestTurn(Simulation& sim, int index) -> void {
  const auto program = "p" + std::to_string(sim.Draw(kPrograms));
  auto& own = sim.m_domains[index];
  if (own.m_other_has.contains(program)) {
    return;
  }
  GrantConditions conditions;
  if (!HasVerifiedAccount(own.m_ledger, ProgramId(program))) {
    const auto found = FindAccount(sim, index, program);
    if (!found) {
      return;
    }
    conditions = *found;
  }
  conditions.m_allow_partial = sim.Draw(4) == 0;
  const auto request = "r" + std::to_string(++sim.m_requests);
  const auto grant = RequestGrant(own.m_ledger,
                                  {.m_program = ProgramId(program),
                                   .m_request = RequestId(request),
                                   .m_budget = BudgetOf(program),
                                   .m_turn_max = kTurnMax},
                                  conditions, sim.m_now);
  if (grant.m_decision == GrantDecision::kGranted) {
    sim.m_granted[program] += grant.m_tokens;
    SettleTurn(own.m_ledger, ProgramId(program), RequestId(request),
               grant.m_tokens, sim.m_now);
  }
}

auto StartOrEndWrite(Simulation& sim, Domain& own) -> void {
  if (!own.m_write) {
    own.m_write =
        Write{BeginRecord(own.m_ledger, sim.m_now), own.m_version, own.m_fence};
    return;
  }
  const auto write = *own.m_write;
  own.m_write.reset();
  if (write.m_expected == own.m_stored.m_version) {
    own.m_stored.m_record = write.m_record;
    own.m_version = ++own.m_stored.m_version;
    NoteRecorded(own.m_ledger, write.m_record);
    return;
  }
  own.m_version = own.m_stored.m_version;
  if (own.m_stored.m_fence != own.m_fence) {
    own.m_fence = own.m_stored.m_fence;
    own.m_fenced_other = false;
    NoteFence(own.m_ledger);
  }
}

auto ReplaceLead(Domain& domain, TimePoint now) -> void {
  auto record = domain.m_stored.m_record;
  RaiseBounds(record, domain.m_journaled);
  domain.m_ledger = {};
  AdoptRecord(domain.m_ledger, record, now);
  // A lead starts its term only after it has written the adopted record.
  domain.m_stored.m_record = record;
  ++domain.m_stored.m_version;
  domain.m_fence = domain.m_stored.m_fence;
  domain.m_version = domain.m_stored.m_version;
  domain.m_write.reset();
  domain.m_fenced_other = false;
  domain.m_other_has.clear();
}

/// All leads lose their memory at once.
auto RestartAllLeads(Simulation& sim) -> void {
  for (auto& domain : sim.m_domains) {
    ReplaceLead(domain, sim.m_now);
  }
}

auto Step(Simulation& sim) -> void {
  sim.m_now += std::chrono::milliseconds(sim.Draw(50));
  const auto index = sim.Draw(2);
  auto& own = sim.m_domains[index];
  switch (sim.Draw(9)) {
    case 8:
      if (sim.m_power_fails && sim.Draw(20) == 0) {
        RestartAllLeads(sim);
      }
      if (sim.m_leads_fail && sim.Draw(5) == 0) {
        ReplaceLead(own, sim.m_now);
      }
      if (sim.m_programs_pause && sim.Draw(5) == 0) {
        sim.m_now += std::chrono::seconds(sim.Draw(10));
      }
      return;
    case 0:
    case 1:
      StartOrEndWrite(sim, own);
      return;
    case 2:
      if (sim.m_journal && sim.Draw(4) == 0 && !own.m_write) {
        own.m_journaled = BeginRecord(own.m_ledger, sim.m_now);
        NoteJournaled(own.m_ledger, own.m_journaled);
      }
      return;
    default:
      RequestTurn(sim, index);
      return;
  }
}

struct RunOptions {
  bool m_store_fails = false;
  bool m_journal = false;
  bool m_power_fails = false;
  bool m_leads_fail = false;
  bool m_programs_pause = false;
};

auto RunSeeds(const RunOptions& options) -> void {
  const auto* text = std::getenv("DOTTERELSHED_SEED");
  const auto first = text == nullptr ? 1U : std::strtoul(text, nullptr, 10);
  for (auto seed = first; seed < first + kRuns; ++seed) {
    CAPTURE(seed);
    Simulation sim{.m_random = std::mt19937(seed),
                   .m_store_fails = options.m_store_fails,
                   .m_journal = options.m_journal,
                   .m_power_fails = options.m_power_fails,
                   .m_leads_fail = options.m_leads_fail,
                   .m_programs_pause = options.m_programs_pause};
    for (auto& domain : sim.m_domains) {
      domain.m_ledger.m_advances = true;
      domain.m_ledger.m_confirmed_at = sim.m_now;
    }
    for (int step = 0; step < kSteps; ++step) {
      Step(sim);
      for (const auto& [program, granted] : sim.m_granted) {
        CAPTURE(program, granted.value());
        REQUIRE(granted <= BudgetOf(program) + kTurnMax);
      }
    }
  }
}

TEST_CASE("leads that can't reach each other don't exceed a budget") {
  RunSeeds({.m_store_fails = true, .m_journal = true});
}

TEST_CASE("leads that lose their memory at once don't exceed a budget") {
  RunSeeds({.m_power_fails = true});
}

TEST_CASE("replaced leads with journaled records don't exceed a budget") {
  RunSeeds({.m_journal = true, .m_leads_fail = true});
}

// Guards against two advances lost in two domains, one after the other.
TEST_CASE("programs that pause while leads are replaced exceed no budget") {
  RunSeeds({.m_leads_fail = true, .m_programs_pause = true});
}

TEST_CASE("journaling leads that lose their memory don't exceed a budget") {
  RunSeeds({.m_journal = true, .m_power_fails = true});
}

// Excluded from the default run as a known failure: see KNOWN-RED.txt.

TEST_CASE(
    "unverified accounts and memory loss of all leads don't exceed a budget",
    "[.]") {
  RunSeeds({.m_store_fails = true, .m_power_fails = true});
}

}  // namespace
}  // namespace dotterelshed
