#include "dotterelshed/claims.h"

#include <catch2/catch.hpp>

#include "fake_platform.h"

namespace dotterelshed {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Verdict = ClaimDecision::Verdict;

enum class Fault { kNone, kLoseResponse, kOutage };

using ShardStore = testing::FakeStore<ClaimShardId, ClaimShardObject>;

/// ClaimManager of one host on a platform that responds at once.
struct Host {
  explicit Host(ShardStore& store,
                const std::string& name,
                ClaimOptions extra = {})
      : m_shards(store) {
    extra.m_self = {.m_host = HostId(name), .m_incarnation = Incarnation(1)};
    extra.m_shard_count = 1;
    extra.m_charts_dir = DOTTERELSHED_CHARTS_DIR;
    m_manager = *MakeClaimManager(extra);
  }

  auto Request(const std::string& request,
               const std::string& key,
               bool first = false,
               const std::string& content = "c") -> void {
    CallRequest call;
    call.m_request = RequestId(request);
    call.m_key = IdempotencyKey(key);
    call.m_content = Digest(content);
    Apply(RequestClaim(*m_manager, call, first, m_now));
  }

  auto Finish(const std::string& request, OutcomeKind outcome) -> void {
    Apply(RecordClaimResult(*m_manager, RequestId(request), outcome, 200,
                            "done", m_now));
  }

  auto Run(Duration span) -> void {
    const auto until = m_now + span;
    while (m_now < until) {
      m_now += milliseconds(5);
      Apply(TickClaims(*m_manager, m_now));
    }
  }

  auto Apply(const ClaimStep& step) -> void {
    m_decisions.insert(m_decisions.end(), step.m_decisions.begin(),
                       step.m_decisions.end());
    for (const auto& effect : step.m_effects) {
      if (const auto* read = std::get_if<ReadClaimShard>(&effect)) {
        Respond({read->m_shard, m_fault == Fault::kOutage
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
    if (m_fault == Fault::kLoseResponse) {
      event.m_shard_object = Fail(ErrorCode::kTimeout, "response lost");
    }
    m_delay_put_responses ? m_delayed.push_back(event) : Respond(event);
  }

  auto Respond(const ClaimShardArrived& event) -> void {
    Apply(OnClaimShardArrived(*m_manager, event, m_now));
  }

  auto LastVerdict() const -> Verdict { return m_decisions.back().m_verdict; }

  ShardStore& m_shards;
  std::shared_ptr<ClaimManager> m_manager;
  TimePoint m_now{seconds(100)};
  Fault m_fault = Fault::kNone;
  bool m_delay_put_responses = false;
  std::vector<ClaimShardArrived> m_delayed;
  std::vector<ClaimDecision> m_decisions;
  int m_puts = 0;
};

auto OnlyShard(const ShardStore& store) -> const ClaimShardObject& {
  return store.objects().at(ClaimShardId("lane-0"));
}

TEST_CASE("claims and results within one group window are written together") {
  ShardStore store;
  Host host(store, "a");
  for (auto i = 0; i < 10; ++i) {
    host.Request("r" + std::to_string(i), "k" + std::to_string(i));
  }
  host.Run(milliseconds(20));
  CHECK(host.m_decisions.size() == 10);
  CHECK(host.m_puts == 1);
  for (auto i = 0; i < 10; ++i) {
    host.Finish("r" + std::to_string(i), OutcomeKind::kDone);
  }
  host.Run(milliseconds(20));
  CHECK(host.m_puts == 2);
  CHECK_FALSE(HasPendingClaims(*host.m_manager));
  host.Run(seconds(60));
  CHECK(host.m_puts == 2);
}

TEST_CASE(
    "of two hosts claiming one key, one is granted and the other is told") {
  ShardStore store;
  Host one(store, "a");
  Host two(store, "b");
  one.Request("r1", "k");
  two.Request("r2", "k");
  one.Run(milliseconds(20));
  two.Run(milliseconds(20));
  CHECK(one.LastVerdict() == Verdict::kGranted);
  CHECK(two.LastVerdict() == Verdict::kUnknown);
  one.Finish("r1", OutcomeKind::kDone);
  one.Run(milliseconds(20));
  two.Request("r3", "k");
  two.Run(milliseconds(20));
  CHECK(two.LastVerdict() == Verdict::kHasResult);
  CHECK(two.m_decisions.back().m_record.m_answer == "done");
  two.Request("r4", "k", false, "another call");
  two.Run(milliseconds(20));
  CHECK(two.LastVerdict() == Verdict::kContentMismatch);
}

TEST_CASE("a claim is granted once although the write's response was lost") {
  ShardStore store;
  Host host(store, "a");
  host.m_fault = Fault::kLoseResponse;
  host.Request("r", "k");
  host.Run(milliseconds(200));
  REQUIRE(host.m_decisions.size() == 1);
  CHECK(host.LastVerdict() == Verdict::kGranted);
}

TEST_CASE("a claim confirmed only after its timeout is removed again") {
  ShardStore store;
  Host host(store, "a");
  host.m_delay_put_responses = true;
  host.Request("r", "k");
  host.Run(milliseconds(20));
  REQUIRE(host.m_delayed.size() == 1);
  CHECK(OnlyShard(store).m_claims.size() == 1);
  host.m_now += seconds(30);
  host.m_delay_put_responses = false;
  host.Respond(host.m_delayed.front());
  REQUIRE(host.m_decisions.size() == 1);
  CHECK(host.LastVerdict() == Verdict::kIndeterminate);
  host.Run(milliseconds(200));
  CHECK(OnlyShard(store).m_claims.empty());
  Host other(store, "b");
  other.Request("r2", "k");
  other.Run(milliseconds(20));
  CHECK(other.LastVerdict() == Verdict::kGranted);
}

TEST_CASE("a caller's key is never reported as unclaimed during an outage") {
  ShardStore store;
  Host host(store, "a");
  host.m_fault = Fault::kOutage;
  host.Request("r1", "caller's key");
  host.Request("r2", "own key", true);
  host.Run(seconds(4));
  REQUIRE(host.m_decisions.size() == 2);
  CHECK(host.m_decisions[0].m_verdict == Verdict::kIndeterminate);
  CHECK(host.m_decisions[1].m_verdict == Verdict::kNotClaimed);
}

TEST_CASE(
    "a call that did not run frees its key, one of unknown outcome does not") {
  ShardStore store;
  Host host(store, "a");
  host.Request("r1", "k1");
  host.Request("r2", "k2");
  host.Run(milliseconds(20));
  host.Finish("r1", OutcomeKind::kNotRun);
  host.Finish("r2", OutcomeKind::kUnknown);
  host.Run(milliseconds(20));
  host.Request("r3", "k1");
  host.Request("r4", "k2");
  host.Run(milliseconds(20));
  REQUIRE(host.m_decisions.size() == 4);
  for (const auto& decision : host.m_decisions) {
    const auto refused = decision.m_request == RequestId("r4");
    CHECK(decision.m_verdict ==
          (refused ? Verdict::kUnknown : Verdict::kGranted));
  }
}

TEST_CASE("a full shard seals finished claims and still finds their keys") {
  ShardStore store;
  Host host(store, "a", {.m_max_shard_bytes = Bytes(4000)});
  for (auto i = 0; i < 40; ++i) {
    const auto request = "r" + std::to_string(i);
    host.Request(request, "k" + std::to_string(i));
    host.Run(milliseconds(20));
    REQUIRE(host.LastVerdict() == Verdict::kGranted);
    host.Finish(request, OutcomeKind::kDone);
    host.Run(milliseconds(20));
  }
  CHECK(OnlyShard(store).m_sealed.size() >= 3);
  Host other(store, "b");
  other.Request("again", "k0");
  other.Run(milliseconds(50));
  CHECK(other.LastVerdict() == Verdict::kHasResult);
}

TEST_CASE(
    "a shard full of open claims refuses new ones until the open ones finish") {
  ShardStore store;
  Host host(store, "a", {.m_max_shard_bytes = Bytes(2000)});
  for (auto i = 0; i < 20; ++i) {
    host.Request("r" + std::to_string(i), "k" + std::to_string(i), true);
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
  host.Request("later", "later", true);
  host.Run(milliseconds(50));
  CHECK(host.LastVerdict() == Verdict::kGranted);
}

TEST_CASE(
    "finished claims are dropped after their retention, open ones are kept") {
  ShardStore store;
  Host host(store, "a",
            {.m_wall_clock_offset = hours(1000), .m_max_sealed = 8});
  host.Request("r1", "old");
  host.Request("r2", "open");
  host.Run(milliseconds(20));
  host.Finish("r1", OutcomeKind::kDone);
  host.Finish("r2", OutcomeKind::kUnknown);
  host.Run(milliseconds(20));
  host.m_now += hours(25);
  host.Request("r3", "new");
  host.Run(milliseconds(50));
  const auto& claims = OnlyShard(store).m_claims;
  REQUIRE(claims.size() == 2);
  CHECK(claims[0].m_key == IdempotencyKey("open"));
  CHECK(claims[1].m_key == IdempotencyKey("new"));
}

}  // namespace
}  // namespace dotterelshed
