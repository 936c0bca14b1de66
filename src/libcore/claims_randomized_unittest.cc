#include <catch2/catch.hpp>
#include <set>

#include "claims_state.h"
#include "fake_platform.h"

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EventQueue;
using testing::RandomSource;

constexpr auto kHosts = 3;
constexpr auto kKeys = 6;

/// A call to the platform by one start of a host.
struct PlatformOp {
  int m_host = 0;
  int m_start = 0;
  ClaimShardId m_shard;
  std::optional<ClaimShardObject> m_put;
  bool m_answered_lost = false;
};

struct Answer {
  int m_host = 0;
  int m_start = 0;
  ClaimShardArrived m_event;
};

/// A granted call at the moment where it would be sent.
struct Send {
  int m_host = 0;
  int m_start = 0;
  RequestId m_request;
  IdempotencyKey m_key;
  TimePoint m_decided;
  TimePoint m_send_by;
};

struct Finish {
  int m_host = 0;
  int m_start = 0;
  RequestId m_request;
  IdempotencyKey m_key;
};

using ScheduledEvent = std::variant<PlatformOp, Answer, Send, Finish>;

struct Asked {
  IdempotencyKey m_key;
  int m_host = 0;
  int m_start = 0;
  bool m_fresh_key = false;
  TimePoint m_at;
  int m_decisions = 0;
};

/// Several hosts' books on one platform that loses answers, delays writes and
/// fails; hosts crash, restart empty and pause.
class RandomizedClaimTest {
 public:
  explicit RandomizedClaimTest(std::uint64_t seed) : m_random(seed) {
    for (auto i = 0; i < kHosts; ++i) {
      m_books.push_back(nullptr);
      m_starts.push_back(0);
      m_paused_until.emplace_back();
      Restart(i);
    }
  }

  auto Run() -> void {
    constexpr auto kRounds = 120;
    for (auto i = 0; i < kRounds; ++i) {
      Act();
      Advance(m_random.Between(milliseconds(1), milliseconds(120)));
    }
    Settle();
  }

 private:
  auto Restart(int host) -> void {
    auto book = MakeClaimManager(
        {.m_self = {.m_host = HostId("h" + std::to_string(host)),
                    .m_incarnation = Incarnation(++m_starts[host])},
         .m_seed = 7,
         .m_shard_count = 2,
         .m_max_shard_bytes = Bytes(6000),
         .m_charts_dir = DOTTERELSHED_CHARTS_DIR,
         .m_max_sealed = 1000});
    REQUIRE(book);
    m_books[host] = std::move(*book);
  }

  auto Act() -> void {
    const auto host = static_cast<int>(m_random.Below(kHosts));
    const auto what = m_random.Below(100);
    if (what < 55) {
      Ask(host);
    } else if (what < 62) {
      Restart(host);
    } else if (what < 70) {
      m_paused_until[host] =
          m_now + m_random.Between(milliseconds(100), seconds(8));
    } else if (what < 78) {
      m_outage = !m_outage;
    } else if (what < 86) {
      m_lossy = !m_lossy;
    }
  }

  auto Ask(int host) -> void {
    if (IsPaused(host)) {
      return;
    }
    const auto number = m_requested_at.size();
    // A key that a host made itself is asked for once.
    const auto first = m_random.Chance(20);
    const IdempotencyKey key(first
                                 ? "made-" + std::to_string(number)
                                 : "k" + std::to_string(m_random.Below(kKeys)));
    const RequestId request("r" + std::to_string(number));
    m_requested_at[request] = {.m_key = key,
                               .m_host = host,
                               .m_start = m_starts[host],
                               .m_fresh_key = first,
                               .m_at = m_now};
    CallRequest call;
    call.m_request = request;
    call.m_key = key;
    call.m_content = Digest("content of " + key.value());
    Take(host, RequestClaim(*m_books[host], call, first, m_now));
  }

  auto IsPaused(int host) const -> bool { return m_now < m_paused_until[host]; }

  auto Advance(Duration span) -> void {
    const auto until = m_now + span;
    while (auto next = m_events.Take(until)) {
      m_now = std::max(m_now, next->first);
      std::visit([this](const auto& event) { Handle(event); }, next->second);
    }
    m_now = until;
    for (auto host = 0; host < kHosts; ++host) {
      if (!IsPaused(host)) {
        Take(host, TickClaims(*m_books[host], m_now));
      }
    }
  }

  auto Delay() -> Duration {
    return m_lossy && m_random.Chance(10)
               ? m_random.Between(seconds(1), seconds(9))
               : m_random.Between(milliseconds(1), milliseconds(20));
  }

  auto Take(int host, const ClaimStep& step) -> void {
    const auto start = m_starts[host];
    for (const auto& effect : step.m_effects) {
      if (const auto* read = std::get_if<ReadClaimShard>(&effect)) {
        m_events.Add(m_now + Delay(), PlatformOp{host, start, read->m_shard});
      } else if (const auto* put = std::get_if<PutClaimShard>(&effect)) {
        StartPut(host, put->m_shard_object);
      } else if (const auto* drop = std::get_if<DeleteClaimShard>(&effect)) {
        m_store.Delete(drop->m_shard);
      }
    }
    for (const auto& decision : step.m_decisions) {
      Decide(host, decision);
    }
  }

  /// Some answers are lost, and the write itself may come much later.
  auto StartPut(int host, const ClaimShardObject& object) -> void {
    PlatformOp op{host, m_starts[host], object.m_shard, object};
    op.m_answered_lost = m_lossy && m_random.Chance(30);
    m_events.Add(m_now + Delay(), op);
    if (op.m_answered_lost) {
      m_events.Add(
          m_now + milliseconds(800),
          Answer{host, op.m_start,
                 ClaimShardArrived{op.m_shard,
                                   Fail(ErrorCode::kTimeout, "lost"), true}});
    }
  }

  auto Handle(const PlatformOp& op) -> void {
    ClaimShardArrived event{op.m_shard, Fail(ErrorCode::kUnavailable, "outage"),
                            op.m_put.has_value()};
    if (!m_outage) {
      event.m_shard_object = op.m_put ? m_store.Put(op.m_shard, *op.m_put)
                                      : m_store.Read(op.m_shard);
      NoteResults(event);
    }
    if (!op.m_answered_lost) {
      m_events.Add(m_now + Delay(), Answer{op.m_host, op.m_start, event});
    }
  }

  auto NoteResults(const ClaimShardArrived& event) -> void {
    if (!event.m_from_put || !event.m_shard_object) {
      return;
    }
    for (const auto& record : event.m_shard_object->m_claims) {
      if (record.m_has_result) {
        m_result_at.try_emplace(record.m_key, m_now);
      }
    }
  }

  auto Handle(const Answer& answer) -> void {
    if (answer.m_start != m_starts[answer.m_host]) {
      return;
    }
    if (IsPaused(answer.m_host)) {
      m_events.Add(m_paused_until[answer.m_host], answer);
      return;
    }
    Take(answer.m_host,
         OnClaimShardArrived(*m_books[answer.m_host], answer.m_event, m_now));
  }

  auto Decide(int host, const ClaimDecision& decision) -> void {
    auto& asked = m_requested_at.at(decision.m_request);
    REQUIRE(++asked.m_decisions == 1);
    switch (decision.m_verdict) {
      case ClaimDecision::Verdict::kGranted:
        // The host may be paused between the decision and the send.
        m_events.Add(m_now + Delay(),
                     Send{host, m_starts[host], decision.m_request, asked.m_key,
                          m_now, decision.m_send_by});
        break;
      case ClaimDecision::Verdict::kHasResult:
        REQUIRE(decision.m_record.m_answer ==
                "answer of " + asked.m_key.value());
        REQUIRE(m_runs[asked.m_key] == 1);
        break;
      case ClaimDecision::Verdict::kNotClaimed:
        REQUIRE(asked.m_fresh_key);
        REQUIRE(m_runs[asked.m_key] == 0);
        m_must_not_run.insert(asked.m_key);
        break;
      case ClaimDecision::Verdict::kUnknown:
        // A result that stood when the call came in has to be found.
        if (m_result_at.contains(asked.m_key)) {
          REQUIRE(m_result_at[asked.m_key] >= asked.m_at);
        }
        break;
      case ClaimDecision::Verdict::kContentMismatch:
        FAIL("no key was used for other content");
        break;
      default:
        break;
    }
  }

  auto Handle(const Send& send) -> void {
    if (send.m_start != m_starts[send.m_host]) {
      return;
    }
    if (IsPaused(send.m_host)) {
      m_events.Add(m_paused_until[send.m_host], send);
      return;
    }
    if (m_now > send.m_send_by || m_random.Chance(10)) {
      Record(send.m_host, send.m_request, OutcomeKind::kNotRun, "");
      return;
    }
    REQUIRE(m_now - send.m_decided <= seconds(1));
    REQUIRE(++m_runs[send.m_key] == 1);
    REQUIRE_FALSE(m_must_not_run.contains(send.m_key));
    m_sent.insert(send.m_request);
    m_events.Add(m_now + m_random.Between(milliseconds(1), seconds(2)),
                 Finish{send.m_host, send.m_start, send.m_request, send.m_key});
  }

  auto Handle(const Finish& finish) -> void {
    if (finish.m_start != m_starts[finish.m_host]) {
      return;
    }
    const auto known = !m_random.Chance(15);
    Record(finish.m_host, finish.m_request,
           known ? OutcomeKind::kDone : OutcomeKind::kUnknown,
           "answer of " + finish.m_key.value());
  }

  auto Record(int host,
              const RequestId& request,
              OutcomeKind outcome,
              const std::string& answer) -> void {
    Take(host, RecordClaimResult(*m_books[host], request, outcome, 200, answer,
                                 m_now));
  }

  /// Without further faults every wish is decided and every result written.
  auto Settle() -> void {
    m_outage = false;
    m_lossy = false;
    for (auto i = 0; i < 400; ++i) {
      Advance(milliseconds(100));
    }
    for (const auto& [request, asked] : m_requested_at) {
      if (asked.m_start == m_starts[asked.m_host]) {
        INFO(request);
        REQUIRE(asked.m_decisions == 1);
      }
    }
    for (const auto& book : m_books) {
      INFO(DumpClaims(*book, m_now));
      REQUIRE_FALSE(HasPendingClaims(*book));
    }
    CheckOpenClaims();
  }

  /// A claim left without result was sent, or its host crashed: a live host
  /// takes back what it never sent.
  auto CheckOpenClaims() -> void {
    for (const auto& [lane, object] : m_store.objects()) {
      for (const auto& record : object.m_claims) {
        const auto& asked = m_requested_at.at(record.m_request);
        const auto lives = asked.m_start == m_starts[asked.m_host];
        INFO(record.m_request);
        REQUIRE((record.m_has_result || !lives ||
                 m_sent.contains(record.m_request)));
      }
    }
  }

  RandomSource m_random;
  TimePoint m_now{seconds(1000)};
  bool m_outage = false;
  bool m_lossy = false;
  std::vector<std::shared_ptr<ClaimManager>> m_books;
  std::vector<int> m_starts;
  std::vector<TimePoint> m_paused_until;
  testing::FakeStore<ClaimShardId, ClaimShardObject> m_store;
  EventQueue<ScheduledEvent> m_events;
  std::map<RequestId, Asked> m_requested_at;
  std::map<IdempotencyKey, int> m_runs;
  std::map<IdempotencyKey, TimePoint> m_result_at;
  std::set<RequestId> m_sent;
  std::set<IdempotencyKey> m_must_not_run;
};

TEST_CASE("a call runs at most once on any walk of faults") {
  const auto first = testing::FirstSeed();
  const auto walks = testing::RandomizedTestCount(1500);
  for (auto i = 0; i < walks; ++i) {
    const auto seed = first + static_cast<std::uint64_t>(i);
    INFO("DOTTERELSHED_SEED=" << seed << " DOTTERELSHED_WALKS=1");
    RandomizedClaimTest(seed).Run();
  }
}

}  // namespace
}  // namespace dotterelshed
