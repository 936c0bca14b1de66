#include "dotterelshed/crash_ledger.h"

#include <catch2/catch.hpp>
#include <string>

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host's ledger and a clock that the test advances.
struct Host {
  CrashLedger m_ledger;
  TimePoint m_now{seconds(1000)};
  std::uint64_t m_lost = 0;

  /// @p call is lost at @p endpoint after it ran for @p running.
  auto LoseAttempt(const CallFingerprint& call,
                   const std::string& endpoint,
                   Duration running = milliseconds(5),
                   CrashEvidence evidence = CrashEvidence::kConnectionLost)
      -> void {
    NoteAttemptLost(m_ledger, call, EndpointId(endpoint),
                    {.m_id = {++m_lost},
                     .m_at = m_now,
                     .m_running = running,
                     .m_evidence = evidence});
  }
  auto Wait(Duration time) -> void { m_now += time; }
  auto Refuses(const CallFingerprint& call) const -> bool {
    return QuarantineLeft(m_ledger, call, m_now) > Duration{0};
  }
  /// Merges another host's whole ledger.
  auto MergeFrom(const Host& other) -> void {
    for (const auto& [digest, content] : other.m_ledger.m_contents) {
      MergeContent(m_ledger, digest, content, m_now);
    }
  }
};

auto MakeCall(const std::string& body, const std::string& caller = "p")
    -> CallFingerprint {
  return MakeFingerprint({.m_method = "POST",
                          .m_target = "/x",
                          .m_caller = caller,
                          .m_body = body});
}

const auto kCrashingCall = MakeCall("poison");
const auto kOther = MakeCall("other");

TEST_CASE("three crashes in a row quarantine a request") {
  Host host;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    CHECK_FALSE(host.Refuses(kCrashingCall));
    host.LoseAttempt(kCrashingCall, endpoint);
    host.Wait(milliseconds(50));
  }
  CHECK(host.Refuses(kCrashingCall));
  CHECK(Admit(host.m_ledger, kCrashingCall, host.m_now) == Admission::kRefused);
  CHECK(Admit(host.m_ledger, kOther, host.m_now) == Admission::kFree);
}

TEST_CASE("each crash of a restarted endpoint counts") {
  Host host;
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(host.Refuses(kCrashingCall));
    host.LoseAttempt(kCrashingCall, "e1");
    host.Wait(seconds(2));
  }
  CHECK(host.Refuses(kCrashingCall));
}

TEST_CASE("several attempts lost in one crash count once") {
  Host host;
  for (int i = 0; i < 5; ++i) {
    host.LoseAttempt(kCrashingCall, "e1");
    host.Wait(milliseconds(50));
  }
  CHECK_FALSE(host.Refuses(kCrashingCall));
  CHECK(CountAttributedCrashes(host.m_ledger, kCrashingCall, host.m_now) == 1);
}

TEST_CASE("a served request is cleared of its earlier crashes") {
  Host host;
  host.LoseAttempt(kCrashingCall, "e1");
  host.LoseAttempt(kCrashingCall, "e2");
  NoteServed(host.m_ledger, kCrashingCall, host.m_now);
  host.Wait(milliseconds(50));
  host.LoseAttempt(kCrashingCall, "e3");
  CHECK_FALSE(host.Refuses(kCrashingCall));
  CHECK(CountAttributedCrashes(host.m_ledger, kCrashingCall, host.m_now) == 1);
}

TEST_CASE("a quarantine applies to its caller only") {
  Host host;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint);
  }
  CHECK(host.Refuses(kCrashingCall));
  CHECK_FALSE(host.Refuses(MakeCall("poison", "q")));
}

TEST_CASE(
    "confirmed crashes for several callers quarantine a content for all") {
  Host host;
  const auto known = GENERATE(true, false);
  const auto served = GENERATE(true, false);
  for (const auto* name : {"1", "2", "3"}) {
    CHECK_FALSE(host.Refuses(MakeCall("poison", "q")));
    host.LoseAttempt(MakeCall("poison", std::string("p") + name),
                     std::string("e") + name);
    if (known) {
      NoteEndpointEnded(host.m_ledger, EndpointId(std::string("e") + name),
                        host.m_now);
    }
    host.Wait(milliseconds(50));
    if (served && *name == '2') {
      NoteServed(host.m_ledger, MakeCall("poison", "another"), host.m_now);
    }
  }
  // Unconfirmed losses, such as lost connections, must not block content that
  // many callers send.
  CHECK(host.Refuses(MakeCall("poison", "q")) == (known && !served));
}

TEST_CASE("losses at an endpoint that stays listed are withdrawn") {
  Host host;
  const auto listing_expiry = host.m_ledger.m_options.m_listing_expiry;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint);
  }
  const auto lost_at = host.m_now;
  host.Wait(listing_expiry + seconds(1));
  const auto* listed = GENERATE("e2", "e9");
  const auto late = GENERATE(true, false);
  NoteEndpointListed(host.m_ledger, EndpointId(listed),
                     late ? host.m_now : lost_at + listing_expiry, host.m_now);
  CHECK(host.Refuses(kCrashingCall) == (!late || listed == std::string("e9")));
}

TEST_CASE(
    "crashes aren't attributed to calls that ran beside the crashing one") {
  Host host;
  const auto slow = milliseconds(800);
  for (const auto* endpoint : {"e1", "e2", "e3", "e4"}) {
    host.LoseAttempt(kOther, endpoint, slow);
    host.LoseAttempt(kCrashingCall, endpoint);
    host.Wait(milliseconds(900));
  }
  CHECK(host.Refuses(kCrashingCall));
  CHECK_FALSE(host.Refuses(kOther));
}

TEST_CASE("calls beside a quarantined request get no crashes attributed") {
  Host host;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint);
    host.LoseAttempt(kOther, endpoint, milliseconds(800));
    host.Wait(milliseconds(900));
  }
  host.LoseAttempt(kOther, "e4");
  CHECK_FALSE(host.Refuses(kOther));
  CHECK(host.Refuses(kCrashingCall));
}

TEST_CASE("crashes aren't attributed to calls of other hosts") {
  Host one;
  Host other;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    one.LoseAttempt(kCrashingCall, endpoint);
    other.m_lost = one.m_lost + 100;
    other.LoseAttempt(kOther, endpoint, milliseconds(700));
    one.MergeFrom(other);
    other.MergeFrom(one);
    one.Wait(milliseconds(900));
    other.Wait(milliseconds(900));
  }
  for (const auto* host : {&one, &other}) {
    CHECK(host->Refuses(kCrashingCall));
    CHECK_FALSE(host->Refuses(kOther));
  }
}

TEST_CASE("time-outs count only if the endpoint is known to have ended") {
  Host host;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint, seconds(1),
                     CrashEvidence::kUnproved);
    host.Wait(seconds(2));
  }
  CHECK_FALSE(host.Refuses(kCrashingCall));
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    NoteEndpointEnded(host.m_ledger, EndpointId(endpoint), host.m_now);
  }
  CHECK(host.Refuses(kCrashingCall));
}

TEST_CASE("an answer on an older connection withdraws the losses") {
  Host host;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    const auto connected_at = host.m_now;
    host.Wait(milliseconds(10));
    host.LoseAttempt(kCrashingCall, endpoint);
    host.Wait(milliseconds(300));
    NoteEndpointAlive(host.m_ledger, EndpointId(endpoint), connected_at,
                      host.m_now);
  }
  CHECK_FALSE(host.Refuses(kCrashingCall));
}

TEST_CASE("an answer on a newer connection withdraws nothing") {
  Host host;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint);
    host.Wait(milliseconds(500));
    NoteEndpointAlive(host.m_ledger, EndpointId(endpoint), host.m_now,
                      host.m_now);
  }
  CHECK(host.Refuses(kCrashingCall));
}

TEST_CASE("a short quarantine ends with a single trial") {
  Host host;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint);
  }
  host.Wait(host.m_ledger.m_options.m_short_quarantine);
  CHECK(Admit(host.m_ledger, kCrashingCall, host.m_now) == Admission::kTrial);
  CHECK(Admit(host.m_ledger, kCrashingCall, host.m_now) == Admission::kRefused);
  SECTION("a lost trial leads to a longer quarantine") {
    host.LoseAttempt(kCrashingCall, "e4");
    host.Wait(host.m_ledger.m_options.m_short_quarantine + seconds(5));
    CHECK(host.Refuses(kCrashingCall));
  }
  SECTION("a served trial clears the request") {
    NoteServed(host.m_ledger, kCrashingCall, host.m_now);
    CHECK(Admit(host.m_ledger, kCrashingCall, host.m_now) == Admission::kFree);
  }
}

TEST_CASE("confirmed sequential crashes make a long quarantine") {
  Host host;
  const auto sequential = GENERATE(true, false);
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint, milliseconds(20));
    NoteEndpointEnded(host.m_ledger, EndpointId(endpoint), host.m_now);
    host.Wait(sequential ? milliseconds(50) : milliseconds(1));
  }
  host.Wait(host.m_ledger.m_options.m_short_quarantine);
  CHECK(host.Refuses(kCrashingCall) == sequential);
}

TEST_CASE("merging ledgers is commutative and idempotent") {
  Host one;
  Host other;
  one.LoseAttempt(kCrashingCall, "e1");
  other.m_lost = 100;
  other.Wait(seconds(2));
  other.LoseAttempt(kCrashingCall, "e2");
  other.LoseAttempt(kCrashingCall, "e3");
  Host third;
  third.MergeFrom(other);
  third.MergeFrom(one);
  one.MergeFrom(other);
  other.MergeFrom(one);
  for (const auto* host : {&one, &other, &third}) {
    CHECK(host->Refuses(kCrashingCall));
    CHECK(CountAttributedCrashes(host->m_ledger, kCrashingCall, host->m_now) ==
          3);
  }
  const auto changes = one.m_ledger.m_changes;
  one.MergeFrom(other);
  one.MergeFrom(third);
  CHECK(one.m_ledger.m_changes == changes);
}

TEST_CASE("a request cleared on one host isn't quarantined by another") {
  Host one;
  Host other;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    one.LoseAttempt(kCrashingCall, endpoint);
  }
  other.MergeFrom(one);
  CHECK(other.Refuses(kCrashingCall));
  other.Wait(seconds(1));
  NoteServed(other.m_ledger, kCrashingCall, other.m_now);
  one.MergeFrom(other);
  other.MergeFrom(one);
  CHECK_FALSE(one.Refuses(kCrashingCall));
  CHECK_FALSE(other.Refuses(kCrashingCall));
}

TEST_CASE("many lost requests neither grow the ledger nor evict suspects") {
  Host host;
  host.m_ledger.m_options.m_max_contents = 50;
  for (const auto* endpoint : {"e1", "e2", "e3"}) {
    host.LoseAttempt(kCrashingCall, endpoint);
  }
  const auto twice = MakeCall("twice");
  host.LoseAttempt(twice, "e4");
  host.LoseAttempt(twice, "e5");
  for (int i = 0; i < 2000; ++i) {
    host.LoseAttempt(MakeCall("flood" + std::to_string(i)),
                     "e" + std::to_string(i));
    host.Wait(milliseconds(1));
  }
  CHECK(host.m_ledger.m_contents.size() <= 50);
  CHECK(host.Refuses(kCrashingCall));
  CHECK(CountAttributedCrashes(host.m_ledger, twice, host.m_now) == 2);
  for (const auto& [digest, content] : host.m_ledger.m_contents) {
    CHECK(content.m_lost.size() <= 8);
  }
}

TEST_CASE("a request that isn't sent again is forgotten") {
  Host host;
  host.LoseAttempt(kCrashingCall, "e1");
  host.Wait(host.m_ledger.m_options.m_retention + seconds(1));
  ForgetOldContents(host.m_ledger, host.m_now);
  CHECK(host.m_ledger.m_contents.empty());
}

}  // namespace
}  // namespace dotterelshed
