#include "dotterelshed/claims.h"

#include <catch2/catch.hpp>

#include "fake_platform.h"

namespace dotterelshed {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = ClaimDecision::Verdict;

enum class Fault { kNone, kLoseAnswer, kOutage };

using Lanes = testing::FakeStore<ClaimShardId, ClaimShardObject>;

/// One host's book on a platform that answers at once.
struct Host {
  explicit Host(Lanes& lanes, const std::string& name, ClaimOptions extra = {})
      : m_shards(lanes) {
    extra.m_self = {.m_host = HostId(name), .m_incarnation = Incarnation(1)};
    extra.m_shard_count = 1;
    extra.m_charts_dir = DOTTERELSHED_CHARTS_DIR;
    m_book = *MakeClaimManager(extra);
  }

  auto Ask(const std::string& request,
           const std::string& key,
           bool first = false,
           const std::string& content = "c") -> void {
    CallRequest call;
    call.m_request = RequestId(request);
    call.m_key = IdempotencyKey(key);
    call.m_content = Digest(content);
    Take(RequestClaim(*m_book, call, first, m_now));
  }

  auto Finish(const std::string& request, OutcomeKind outcome) -> void {
    Take(RecordClaimResult(*m_book, RequestId(request), outcome, 200, "done",
                           m_now));
  }

  auto Run(Duration span) -> void {
    const auto until = m_now + span;
    while (m_now < until) {
      m_now += milliseconds(5);
      Take(TickClaims(*m_book, m_now));
    }
  }

  auto Take(const ClaimStep& step) -> void {
    m_decisions.insert(m_decisions.end(), step.m_decisions.begin(),
                       step.m_decisions.end());
    for (const auto& effect : step.m_effects) {
      if (const auto* read = std::get_if<ReadClaimShard>(&effect)) {
        Answer({read->m_shard, m_fault == Fault::kOutage
                                   ? Fail(ErrorCode::kUnavailable, "outage")
                                   : m_shards.Read(read->m_shard)});
      } else if (const auto* put = std::get_if<PutClaimShard>(&effect)) {
        Put(put->m_shard_object);
      } else if (const auto* drop = std::get_if<DeleteClaimShard>(&effect)) {
        m_shards.Delete(drop->m_shard);
      }
    }
  }

  auto Put(const ClaimShardObject& object) -> void {
    ++m_puts;
    ClaimShardArrived event{object.m_shard, Fail(ErrorCode::kUnavailable, ""),
                            true};
    if (m_fault != Fault::kOutage) {
      event.m_shard_object = m_shards.Put(object.m_shard, object);
    }
    if (m_fault == Fault::kLoseAnswer) {
      event.m_shard_object = Fail(ErrorCode::kTimeout, "lost");
    }
    m_pause_after_put ? m_late.push_back(event) : Answer(event);
  }

  auto Answer(const ClaimShardArrived& event) -> void {
    Take(OnClaimShardArrived(*m_book, event, m_now));
  }

  auto Last() const -> Verdict { return m_decisions.back().m_verdict; }

  Lanes& m_shards;
  std::shared_ptr<ClaimManager> m_book;
  TimePoint m_now{seconds(100)};
  Fault m_fault = Fault::kNone;
  bool m_pause_after_put = false;
  std::vector<ClaimShardArrived> m_late;
  std::vector<ClaimDecision> m_decisions;
  int m_puts = 0;
};

auto OnlyLane(const Lanes& lanes) -> const ClaimShardObject& {
  return lanes.objects().at(ClaimShardId("lane-0"));
}

TEST_CASE("claims and results of one window share a write") {
  Lanes lanes;
  Host host(lanes, "a");
  for (auto i = 0; i < 10; ++i) {
    host.Ask("r" + std::to_string(i), "k" + std::to_string(i));
  }
  host.Run(milliseconds(20));
  CHECK(host.m_decisions.size() == 10);
  CHECK(host.m_puts == 1);
  for (auto i = 0; i < 10; ++i) {
    host.Finish("r" + std::to_string(i), OutcomeKind::kDone);
  }
  host.Run(milliseconds(20));
  CHECK(host.m_puts == 2);
  CHECK_FALSE(HasPendingClaims(*host.m_book));
  host.Run(seconds(60));
  CHECK(host.m_puts == 2);
}

TEST_CASE("of two hosts with one key one may send, the other learns of it") {
  Lanes lanes;
  Host one(lanes, "a");
  Host two(lanes, "b");
  one.Ask("r1", "k");
  two.Ask("r2", "k");
  one.Run(milliseconds(20));
  two.Run(milliseconds(20));
  CHECK(one.Last() == Verdict::kGranted);
  CHECK(two.Last() == Verdict::kUnknown);
  one.Finish("r1", OutcomeKind::kDone);
  one.Run(milliseconds(20));
  two.Ask("r3", "k");
  two.Run(milliseconds(20));
  CHECK(two.Last() == Verdict::kHasResult);
  CHECK(two.m_decisions.back().m_record.m_answer == "done");
  two.Ask("r4", "k", false, "another call");
  two.Run(milliseconds(20));
  CHECK(two.Last() == Verdict::kContentMismatch);
}

TEST_CASE("a claim whose answer was lost is granted once") {
  Lanes lanes;
  Host host(lanes, "a");
  host.m_fault = Fault::kLoseAnswer;
  host.Ask("r", "k");
  host.Run(milliseconds(200));
  REQUIRE(host.m_decisions.size() == 1);
  CHECK(host.Last() == Verdict::kGranted);
}

TEST_CASE("a host that was paused past the timeout gives its claim back") {
  Lanes lanes;
  Host host(lanes, "a");
  host.m_pause_after_put = true;
  host.Ask("r", "k");
  host.Run(milliseconds(20));
  REQUIRE(host.m_late.size() == 1);
  CHECK(OnlyLane(lanes).m_claims.size() == 1);
  host.m_now += seconds(30);
  host.m_pause_after_put = false;
  host.Answer(host.m_late.front());
  REQUIRE(host.m_decisions.size() == 1);
  CHECK(host.Last() == Verdict::kIndeterminate);
  host.Run(milliseconds(200));
  CHECK(OnlyLane(lanes).m_claims.empty());
  Host other(lanes, "b");
  other.Ask("r2", "k");
  other.Run(milliseconds(20));
  CHECK(other.Last() == Verdict::kGranted);
}

TEST_CASE("a key whose record can't be read is never called unclaimed") {
  Lanes lanes;
  Host host(lanes, "a");
  host.m_fault = Fault::kOutage;
  host.Ask("r1", "caller's key");
  host.Ask("r2", "own key", true);
  host.Run(seconds(4));
  REQUIRE(host.m_decisions.size() == 2);
  CHECK(host.m_decisions[0].m_verdict == Verdict::kIndeterminate);
  CHECK(host.m_decisions[1].m_verdict == Verdict::kNotClaimed);
}

TEST_CASE("a call that did not run frees its key, an uncertain one does not") {
  Lanes lanes;
  Host host(lanes, "a");
  host.Ask("r1", "k1");
  host.Ask("r2", "k2");
  host.Run(milliseconds(20));
  host.Finish("r1", OutcomeKind::kNotRun);
  host.Finish("r2", OutcomeKind::kUnknown);
  host.Run(milliseconds(20));
  host.Ask("r3", "k1");
  host.Ask("r4", "k2");
  host.Run(milliseconds(20));
  REQUIRE(host.m_decisions.size() == 4);
  for (const auto& decision : host.m_decisions) {
    const auto refused = decision.m_request == RequestId("r4");
    CHECK(decision.m_verdict ==
          (refused ? Verdict::kUnknown : Verdict::kGranted));
  }
}

TEST_CASE("a full lane seals finished claims and still knows their keys") {
  Lanes lanes;
  Host host(lanes, "a", {.m_max_shard_bytes = Bytes(4000)});
  for (auto i = 0; i < 40; ++i) {
    const auto request = "r" + std::to_string(i);
    host.Ask(request, "k" + std::to_string(i));
    host.Run(milliseconds(20));
    REQUIRE(host.Last() == Verdict::kGranted);
    host.Finish(request, OutcomeKind::kDone);
    host.Run(milliseconds(20));
  }
  CHECK(OnlyLane(lanes).m_sealed.size() >= 3);
  Host other(lanes, "b");
  other.Ask("again", "k0");
  other.Run(milliseconds(50));
  CHECK(other.Last() == Verdict::kHasResult);
}

TEST_CASE("a lane full of open claims refuses, and takes more once they end") {
  Lanes lanes;
  Host host(lanes, "a", {.m_max_shard_bytes = Bytes(2000)});
  for (auto i = 0; i < 20; ++i) {
    host.Ask("r" + std::to_string(i), "k" + std::to_string(i), true);
  }
  host.Run(milliseconds(50));
  REQUIRE(host.m_decisions.size() == 20);
  std::vector<RequestId> granted;
  for (const auto& decision : host.m_decisions) {
    if (decision.m_verdict == Verdict::kGranted) {
      granted.push_back(decision.m_request);
    } else {
      CHECK(decision.m_verdict == Verdict::kNotClaimed);
    }
  }
  REQUIRE(granted.size() > 0);
  REQUIRE(granted.size() < 20);
  for (const auto& request : granted) {
    host.Finish(request.value(), OutcomeKind::kDone);
  }
  host.Run(milliseconds(50));
  host.Ask("later", "later", true);
  host.Run(milliseconds(50));
  CHECK(host.Last() == Verdict::kGranted);
}

TEST_CASE("finished claims are dropped after their retention, open ones not") {
  Lanes lanes;
  Host host(lanes, "a",
            {.m_wall_clock_offset = hours(1000), .m_max_sealed = 8});
  host.Ask("r1", "old");
  host.Ask("r2", "open");
  host.Run(milliseconds(20));
  host.Finish("r1", OutcomeKind::kDone);
  host.Finish("r2", OutcomeKind::kUnknown);
  host.Run(milliseconds(20));
  host.m_now += hours(25);
  host.Ask("r3", "new");
  host.Run(milliseconds(50));
  const auto& claims = OnlyLane(lanes).m_claims;
  REQUIRE(claims.size() == 2);
  CHECK(claims[0].m_key == IdempotencyKey("open"));
  CHECK(claims[1].m_key == IdempotencyKey("new"));
}

}  // namespace
}  // namespace dotterelshed
