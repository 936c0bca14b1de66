#include "dotterelshed/rollout.h"

#include <catch2/catch.hpp>

#include "dotterelshed/config_text.h"
#include "fake_platform.h"
#include "rollout/rollout_diff.h"

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EventQueue;
using testing::RandomSource;

constexpr auto kAccounts = 60;

/// A configuration text in which consecutive generations differ in two account
/// entries.
auto TextOf(int generation) -> std::string {
  std::string text = R"({
  "desk": "test",
  "domains": ["d0"],
  "services": [{"name": "chat", "kind": "model",
    "models": [{"name": "m", "version": "1"}],
    "endpoints": [{"name": "e", "domain": "d0", "address": "127.0.0.1:1"}]}],
  "classes": [{"name": "c", "deadline": "30s", "budget": "2 EUR"}],
  "default_class": "c",
  "accounts": [
)";
  for (auto i = 0; i < kAccounts; ++i) {
    const auto limit = i == generation % kAccounts ? 3 : 4;
    text += "    {\"name\": \"account-" + std::to_string(i) +
            "\", \"max_concurrent\": " + std::to_string(limit) + "}";
    text += i + 1 < kAccounts ? ",\n" : "\n";
  }
  return text + "  ]\n}\n";
}

auto Arrived(int generation) -> ConfigArrived {
  auto check = CheckConfigText(TextOf(generation), Generation(generation));
  for (const auto& problem : check.m_problems) {
    FAIL(FormatProblem(problem, "test text"));
  }
  return {std::make_shared<const DeskConfig>(std::move(check.m_config)),
          TextOf(generation)};
}

auto Ref(int host) -> HostRef {
  return {.m_host = HostId("h" + std::to_string(host)),
          .m_incarnation = Incarnation(1)};
}

auto Make(int host) -> std::shared_ptr<Rollout> {
  return *MakeRollout({.m_self = Ref(host),
                       .m_domain = DomainId("d0"),
                       .m_charts_dir = DOTTERELSHED_CHARTS_DIR});
}

template <typename Message>
auto FindMessage(const Effects& effects) -> const Message* {
  for (const auto& effect : effects) {
    const auto* send = std::get_if<SendPeer>(&effect);
    if (send != nullptr && std::holds_alternative<Message>(send->m_message)) {
      return &std::get<Message>(send->m_message);
    }
  }
  return nullptr;
}

template <typename Kind>
auto Count(const Effects& effects) -> int {
  auto count = 0;
  for (const auto& effect : effects) {
    count += std::holds_alternative<Kind>(effect) ? 1 : 0;
  }
  return count;
}

const TimePoint kStart{seconds(100)};

TEST_CASE("only higher generations are put in force") {
  const auto host = Make(0);
  CHECK(OnConfigArrived(*host, Arrived(5), kStart).m_adopted);
  CHECK_FALSE(OnConfigArrived(*host, Arrived(5), kStart).m_adopted);
  CHECK_FALSE(OnConfigArrived(*host, Arrived(3), kStart).m_adopted);
  const auto step = OnConfigArrived(*host, Arrived(6), kStart);
  REQUIRE(step.m_adopted);
  CHECK(Count<ConfigInForce>(step.m_effects) == 1);
  CHECK(GenerationInUse(*host) == Generation(6));
}

TEST_CASE("a peer with the base gets a small difference") {
  const auto lead = Make(0);
  const auto host = Make(1);
  OnConfigArrived(*lead, Arrived(1), kStart);
  OnConfigArrived(*host, Arrived(1), kStart);
  OnConfigArrived(*lead, Arrived(2), kStart);
  const auto ask = OnGenerationSeen(*host, Ref(0), Generation(2), kStart);
  const auto* request = FindMessage<ConfigRequest>(ask.m_effects);
  REQUIRE(request);
  const auto answer = OnConfigRequest(*lead, *request, kStart);
  const auto* offer = FindMessage<ConfigOffer>(answer.m_effects);
  REQUIRE(offer);
  CHECK(offer->m_base == Generation(1));
  CHECK(offer->m_text.size() < 300);
  const auto taken = OnConfigOffer(*host, *offer, kStart);
  REQUIRE(taken.m_adopted);
  CHECK(taken.m_adopted->m_generation == Generation(2));
  // The rebuilt text is identical, so it can be offered to other peers.
  const auto next = OnConfigRequest(
      *host, {.m_from = Ref(2), .m_have = Generation(0)}, kStart);
  CHECK(FindMessage<ConfigOffer>(next.m_effects)->m_text == TextOf(2));
}

TEST_CASE("a difference that cannot be applied is followed by the full text") {
  const auto lead = Make(0);
  const auto host = Make(1);
  OnConfigArrived(*lead, Arrived(2), kStart);
  OnConfigArrived(*host, Arrived(1), kStart);
  OnGenerationSeen(*host, Ref(0), Generation(2), kStart);
  const ConfigOffer wrong{.m_from = Ref(0),
                          .m_generation = Generation(2),
                          .m_base = Generation(1),
                          .m_text = "c0 10\n",
                          .m_digest = pvt::DigestOf(TextOf(2))};
  CHECK_FALSE(OnConfigOffer(*host, wrong, kStart).m_adopted);
  const auto again = TickRollout(*host, kStart + seconds(1));
  const auto* request = FindMessage<ConfigRequest>(again.m_effects);
  REQUIRE(request);
  CHECK(request->m_have == Generation(0));
  const auto answer = OnConfigRequest(*lead, *request, kStart);
  const auto* offer = FindMessage<ConfigOffer>(answer.m_effects);
  CHECK_FALSE(offer->m_base);
  CHECK(OnConfigOffer(*host, *offer, kStart).m_adopted);
}

TEST_CASE("an unreadable text is rejected and the last one stays in force") {
  const auto host = Make(1);
  OnConfigArrived(*host, Arrived(1), kStart);
  OnGenerationSeen(*host, Ref(0), Generation(2), kStart);
  const ConfigOffer bad{
      .m_from = Ref(0), .m_generation = Generation(2), .m_text = "{]"};
  const auto step = OnConfigOffer(*host, bad, kStart);
  CHECK_FALSE(step.m_adopted);
  CHECK(Count<WriteLog>(step.m_effects) == 1);
  CHECK(TickRollout(*host, kStart + seconds(9)).m_effects.empty());
  CHECK(
      OnGenerationSeen(*host, Ref(0), Generation(2), kStart).m_effects.empty());
  CHECK_FALSE(
      OnGenerationSeen(*host, Ref(0), Generation(3), kStart).m_effects.empty());
}

TEST_CASE(
    "a peer that does not reply is followed by another one, then the "
    "platform") {
  const auto host = Make(1);
  OnGenerationSeen(*host, Ref(0), Generation(2), kStart);
  OnGenerationSeen(*host, Ref(2), Generation(2), kStart);
  std::vector<HostId> asked;
  auto reads = 0;
  for (auto i = 1; i <= 3; ++i) {
    const auto step = TickRollout(*host, kStart + seconds(i));
    reads += Count<ReadConfig>(step.m_effects);
    for (const auto& effect : step.m_effects) {
      if (const auto* send = std::get_if<SendPeer>(&effect)) {
        asked.push_back(send->m_to);
      }
    }
  }
  CHECK(asked == std::vector{HostId("h2"), HostId("h0")});
  CHECK(reads == 1);
}

TEST_CASE("the lead writes a changed status once, and again after an outage") {
  const auto lead = Make(0);
  OnConfigArrived(*lead, Arrived(4), kStart);
  std::vector<MemberInfo> members{
      {.m_host = Ref(0)}, {.m_host = Ref(1), .m_generation = Generation(3)}};
  auto now = kStart;
  const auto report = [&](bool reachable) -> std::optional<DomainStatus> {
    now += seconds(1);
    const auto step = ReportRollout(*lead, members, reachable, now);
    if (step.m_effects.empty()) {
      return std::nullopt;
    }
    return std::get<PutStatus>(step.m_effects.front()).m_status;
  };
  const auto behind = report(true);
  REQUIRE(behind);
  CHECK(behind->m_in_force == Generation(3));
  CHECK(behind->m_behind == std::vector{HostId("h1")});
  CHECK_FALSE(report(true));
  members[1].m_generation = Generation(4);
  const auto done = report(true);
  REQUIRE(done);
  CHECK(done->m_in_force == Generation(4));
  CHECK(done->m_behind.empty());
  CHECK_FALSE(report(false));
  CHECK(report(true));
}

TEST_CASE("differences rebuild random texts from random bases") {
  RandomSource dice(7);
  for (auto i = 0; i < 500; ++i) {
    const auto piece = [&dice] {
      std::string text;
      for (auto lines = dice.Below(12); lines > 0; --lines) {
        text += std::string(dice.Below(4), 'x') +
                static_cast<char>('a' + dice.Below(3)) +
                (dice.Chance(80) ? "\n" : "");
      }
      return text;
    };
    const auto base = piece();
    const auto text = piece();
    const auto difference = pvt::MakeDifference(base, text);
    const auto rebuilt = pvt::ApplyDifference(base, difference);
    REQUIRE(rebuilt);
    REQUIRE(*rebuilt == text);
  }
  CHECK_FALSE(pvt::ApplyDifference("abc", "c1 9\n"));
  CHECK_FALSE(pvt::ApplyDifference("abc", "i5\nab"));
  CHECK_FALSE(pvt::ApplyDifference("abc", "x"));
  CHECK_FALSE(pvt::ApplyDifference("abc", "c18446744073709551615 2\n"));
}

/// Returns the longest time until a new generation is in force on @p hosts
/// hosts. The lead's digests arrive every 500 ms; digests, requests and offers
/// are each lost with a probability of 20 %.
auto SlowestAdoption(std::uint64_t seed, int hosts) -> Duration {
  constexpr auto kLosePercent = 20;
  RandomSource dice(seed);
  const auto lead = Make(0);
  OnConfigArrived(*lead, Arrived(1), kStart);
  OnConfigArrived(*lead, Arrived(2), kStart);
  Duration slowest{0};
  for (auto i = 1; i <= hosts; ++i) {
    const auto host = Make(i);
    OnConfigArrived(*host, Arrived(1), kStart);
    auto now = kStart + dice.Between(milliseconds(0), milliseconds(500));
    auto next_digest = now;
    while (GenerationInUse(*host) < Generation(2)) {
      RolloutStep step;
      if (now >= next_digest && !dice.Chance(kLosePercent)) {
        step = OnGenerationSeen(*host, Ref(0), Generation(2), now);
      }
      next_digest += now >= next_digest ? milliseconds(500) : milliseconds(0);
      auto more = TickRollout(*host, now).m_effects;
      more.insert(more.end(), step.m_effects.begin(), step.m_effects.end());
      const auto* ask = FindMessage<ConfigRequest>(more);
      if (ask != nullptr && !dice.Chance(kLosePercent)) {
        const auto answer = OnConfigRequest(*lead, *ask, now);
        const auto* offer = FindMessage<ConfigOffer>(answer.m_effects);
        if (offer != nullptr && !dice.Chance(kLosePercent)) {
          OnConfigOffer(*host, *offer, now + milliseconds(4));
        }
      }
      now += milliseconds(20);
    }
    slowest = std::max<Duration>(slowest, now - kStart);
  }
  return slowest;
}

TEST_CASE(
    "a new generation is in force on a domain's hosts within four seconds") {
  for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
    CHECK(SlowestAdoption(seed, 36) <= seconds(4));
  }
}

/// Hosts exchange their generations over a network that loses, duplicates and
/// delays messages, while the platform gets new texts and has outages, and
/// hosts restart without a configuration.
class RandomizedRolloutTest {
 public:
  explicit RandomizedRolloutTest(std::uint64_t seed) : m_random(seed) {
    for (auto i = 0; i < kHosts; ++i) {
      m_hosts.push_back(Make(i));
      m_seen.emplace_back();
    }
  }

  auto Run() -> void {
    constexpr auto kRounds = 150;
    for (auto i = 0; i < kRounds; ++i) {
      InjectFault();
      Round();
    }
    m_outage = false;
    m_lose_percent = 0;
    for (auto i = 0; i < 40; ++i) {
      Round();
    }
    for (const auto& host : m_hosts) {
      REQUIRE(GenerationInUse(*host) == Generation(m_newest));
    }
  }

 private:
  static constexpr auto kHosts = 4;

  struct Delivery {
    int m_to = 0;
    PeerMessage m_message;
  };

  auto InjectFault() -> void {
    const auto host = static_cast<int>(m_random.Below(kHosts));
    switch (m_random.Below(12)) {
      case 0:
        ++m_newest;
        break;
      case 1:
        m_outage = !m_outage;
        break;
      case 2:
        m_lose_percent = m_random.Chance(50) ? 0 : 50;
        break;
      case 3:
        m_hosts[host] = Make(host);
        m_seen[host] = Generation();
        break;
      case 4:
        // An old event of the platform watch arrives late.
        if (m_newest > 0) {
          Take(host,
               OnConfigArrived(
                   *m_hosts[host],
                   Arrived(1 + static_cast<int>(m_random.Below(m_newest))),
                   m_now));
        }
        break;
      default:
        break;
    }
  }

  auto Round() -> void {
    const auto until = m_now + milliseconds(200);
    while (auto due = m_events.Take(until)) {
      m_now = std::max(m_now, due->first);
      Deliver(due->second);
    }
    m_now = until;
    for (auto host = 0; host < kHosts; ++host) {
      Take(host, TickRollout(*m_hosts[host], m_now));
      ReportGeneration(host, static_cast<int>(m_random.Below(kHosts)));
    }
    // Host 0 is the lead and watches the platform.
    if (!m_outage && m_newest > 0) {
      Take(0, OnConfigArrived(*m_hosts[0], Arrived(m_newest), m_now));
    }
  }

  /// A heartbeat or digest of @p from reports its generation to @p to.
  auto ReportGeneration(int from, int to) -> void {
    Take(to, OnGenerationSeen(*m_hosts[to], Ref(from),
                              GenerationInUse(*m_hosts[from]), m_now));
  }

  auto Take(int host, const RolloutStep& step) -> void {
    const auto generation = GenerationInUse(*m_hosts[host]);
    REQUIRE(generation >= m_seen[host]);
    REQUIRE(generation <= Generation(m_newest));
    m_seen[host] = generation;
    for (const auto& effect : step.m_effects) {
      if (const auto* send = std::get_if<SendPeer>(&effect)) {
        Post(*send);
      } else if (std::holds_alternative<ReadConfig>(effect) && !m_outage &&
                 m_newest > 0) {
        m_reads.push_back(host);
      }
    }
    for (const auto reader : std::exchange(m_reads, {})) {
      Take(reader, OnConfigArrived(*m_hosts[reader], Arrived(m_newest), m_now));
    }
  }

  auto Post(const SendPeer& send) -> void {
    const auto to = std::stoi(send.m_to.value().substr(1));
    while (!m_random.Chance(m_lose_percent)) {
      m_events.Add(m_now + m_random.Between(milliseconds(1), seconds(3)),
                   {to, send.m_message});
      if (!m_random.Chance(30)) {
        return;
      }
    }
  }

  auto Deliver(const Delivery& delivery) -> void {
    auto& host = *m_hosts[delivery.m_to];
    if (const auto* ask = std::get_if<ConfigRequest>(&delivery.m_message)) {
      Take(delivery.m_to, OnConfigRequest(host, *ask, m_now));
    }
    if (const auto* offer = std::get_if<ConfigOffer>(&delivery.m_message)) {
      Take(delivery.m_to, OnConfigOffer(host, *offer, m_now));
    }
  }

  RandomSource m_random;
  TimePoint m_now{seconds(1000)};
  int m_newest = 0;
  bool m_outage = false;
  std::uint32_t m_lose_percent = 0;
  std::vector<std::shared_ptr<Rollout>> m_hosts;
  std::vector<Generation> m_seen;
  std::vector<int> m_reads;
  EventQueue<Delivery> m_events;
};

TEST_CASE(
    "randomized test: generations never decrease and all hosts converge") {
  const auto first = testing::FirstSeed();
  const auto runs = testing::RandomizedTestCount(60);
  for (auto i = 0; i < runs; ++i) {
    const auto seed = first + static_cast<std::uint64_t>(i);
    INFO("DOTTERELSHED_SEED=" << seed << " DOTTERELSHED_WALKS=1");
    RandomizedRolloutTest(seed).Run();
  }
}

}  // namespace
}  // namespace dotterelshed
