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
/// Seeded walks over the leads of two domains whose programs send turns to
/// both. Each may not hear the other at any moment, and then fences its ledger;
/// writes fail, and land late. After each step no program may have been handed
/// more than its budget and one turn's most.

namespace dotterelshed {
namespace {

constexpr unsigned kWalks = 4000;
constexpr int kSteps = 150;
constexpr int kPrograms = 3;
constexpr Tokens kMost(10);

struct Stored {
  LedgerRecord m_record;
  int m_fence = 0;
  int m_version = 0;
};

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
  /// On disk hosts, which lose nothing here.
  LedgerRecord m_kept;
  /// This lead has fenced the other.
  bool m_fenced_other = false;
  /// Programs that the other one keeps.
  std::set<std::string> m_notes;
};

struct World {
  std::mt19937 m_random;
  TimePoint m_now{std::chrono::seconds(100)};
  std::array<Domain, 2> m_domains;
  std::map<std::string, Tokens> m_granted;
  /// The store can't be read at times, so that accounts are blind.
  bool m_store_fails = false;
  /// Records are kept on disk hosts at times.
  bool m_journal = false;
  /// All leads lose their memory at once at times.
  bool m_power_fails = false;
  /// One lead is replaced at times, and its memory is lost.
  bool m_leads_fail = false;
  int m_requests = 0;

  auto Draw(int below) -> int {
    return static_cast<int>(m_random() % static_cast<unsigned>(below));
  }
};

auto BudgetOf(const std::string& program) -> Tokens {
  return kMost * (program.back() - '0' + 1);
}

/// Looks for the program's account; empty when the other domain keeps it.
auto Search(World& world, int index, const std::string& program)
    -> std::optional<GrantConditions> {
  auto& own = world.m_domains[index];
  auto& other = world.m_domains[1 - index];
  const ProgramId id(program);
  const auto heard = world.Draw(2) == 0;
  if (heard) {
    const auto blind_here = own.m_ledger.m_accounts.contains(id);
    const auto other_claims =
        HasVerifiedAccount(other.m_ledger, id) ||
        (other.m_ledger.m_accounts.contains(id) && (index == 1 || !blind_here));
    if (other_claims) {
      own.m_notes.insert(program);
      return std::nullopt;
    }
    other.m_notes.insert(program);
    return GrantConditions{};
  }
  const auto store_reached = !world.m_store_fails || world.Draw(4) > 0;
  if (!store_reached) {
    return GrantConditions{.m_unverified = true};
  }
  if (!own.m_fenced_other) {
    ++other.m_stored.m_fence;
    ++other.m_stored.m_version;
    own.m_fenced_other = true;
  }
  if (other.m_stored.m_record.m_bounds.contains(id)) {
    own.m_notes.insert(program);
    return std::nullopt;
  }
  return GrantConditions{.m_other_fenced = true};
}

auto Ask(World& world, int index) -> void {
  const auto program = "p" + std::to_string(world.Draw(kPrograms));
  auto& own = world.m_domains[index];
  if (own.m_notes.contains(program)) {
    return;
  }
  GrantConditions conditions;
  if (!HasVerifiedAccount(own.m_ledger, ProgramId(program))) {
    const auto searched = Search(world, index, program);
    if (!searched) {
      return;
    }
    conditions = *searched;
  }
  conditions.m_allow_partial = world.Draw(4) == 0;
  const auto request = "r" + std::to_string(++world.m_requests);
  const auto grant = RequestGrant(own.m_ledger,
                                  {.m_program = ProgramId(program),
                                   .m_request = RequestId(request),
                                   .m_budget = BudgetOf(program),
                                   .m_turn_max = kMost},
                                  conditions, world.m_now);
  if (grant.m_decision == GrantDecision::kGranted) {
    world.m_granted[program] += grant.m_tokens;
    SettleTurn(own.m_ledger, ProgramId(program), RequestId(request),
               grant.m_tokens, world.m_now);
  }
}

auto EndWrite(World& world, Domain& own) -> void {
  if (!own.m_write) {
    own.m_write = Write{BeginRecord(own.m_ledger, world.m_now), own.m_version,
                        own.m_fence};
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
  RaiseBounds(record, domain.m_kept);
  domain.m_ledger = {};
  AdoptRecord(domain.m_ledger, record, now);
  // A lead that couldn't write what it adopts doesn't begin.
  domain.m_stored.m_record = record;
  ++domain.m_stored.m_version;
  domain.m_fence = domain.m_stored.m_fence;
  domain.m_version = domain.m_stored.m_version;
  domain.m_write.reset();
  domain.m_fenced_other = false;
  domain.m_notes.clear();
}

/// All leads lose their memory at once.
auto LosePower(World& world) -> void {
  for (auto& domain : world.m_domains) {
    ReplaceLead(domain, world.m_now);
  }
}

auto Step(World& world) -> void {
  world.m_now += std::chrono::milliseconds(world.Draw(50));
  const auto index = world.Draw(2);
  auto& own = world.m_domains[index];
  switch (world.Draw(9)) {
    case 8:
      if (world.m_power_fails && world.Draw(20) == 0) {
        LosePower(world);
      }
      if (world.m_leads_fail && world.Draw(5) == 0) {
        ReplaceLead(own, world.m_now);
      }
      return;
    case 0:
    case 1:
      EndWrite(world, own);
      return;
    case 2:
      if (world.m_journal && world.Draw(4) == 0 && !own.m_write) {
        own.m_kept = BeginRecord(own.m_ledger, world.m_now);
        NoteJournaled(own.m_ledger, own.m_kept);
      }
      return;
    default:
      Ask(world, index);
      return;
  }
}

struct WalkOptions {
  bool m_store_fails = false;
  bool m_journal = false;
  bool m_power_fails = false;
  bool m_leads_fail = false;
};

auto Walk(const WalkOptions& options) -> void {
  const auto* text = std::getenv("DOTTERELSHED_SEED");
  const auto first = text == nullptr ? 1U : std::strtoul(text, nullptr, 10);
  for (auto seed = first; seed < first + kWalks; ++seed) {
    CAPTURE(seed);
    World world{.m_random = std::mt19937(seed),
                .m_store_fails = options.m_store_fails,
                .m_journal = options.m_journal,
                .m_power_fails = options.m_power_fails,
                .m_leads_fail = options.m_leads_fail};
    for (auto& domain : world.m_domains) {
      domain.m_ledger.m_confirmed_at = world.m_now;
    }
    for (int step = 0; step < kSteps; ++step) {
      Step(world);
      for (const auto& [program, granted] : world.m_granted) {
        CAPTURE(program, granted.value());
        REQUIRE(granted <= BudgetOf(program) + kMost);
      }
    }
  }
}

TEST_CASE("two leads that don't hear each other keep each budget") {
  Walk({.m_store_fails = true, .m_journal = true});
}

TEST_CASE("two leads that lose power keep each budget") {
  Walk({.m_power_fails = true});
}

TEST_CASE("a replaced lead opens an account that a cut-off one keeps on disk") {
  Walk({.m_journal = true, .m_leads_fail = true});
}

TEST_CASE("leads with a journal that lose power keep each budget") {
  Walk({.m_journal = true, .m_power_fails = true});
}

// Not in the default run: KNOWN-RED.txt.

TEST_CASE("a blind lead and another that lose power keep each budget", "[.]") {
  Walk({.m_store_fails = true, .m_power_fails = true});
}

}  // namespace
}  // namespace dotterelshed
