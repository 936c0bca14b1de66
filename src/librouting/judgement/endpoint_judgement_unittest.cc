#include "dotterelshed/endpoint_judgement.h"

#include <catch2/catch.hpp>

#include <random>

namespace dotterelshed {
namespace {

const ServiceId kService("s");
const HostId kHostA("a");
const HostId kHostB("b");
const TimePoint kStart{std::chrono::seconds(100)};

auto Id(int number) -> EndpointId {
  return EndpointId("e" + std::to_string(number));
}

auto Outcomes(EndpointOutcome outcome, std::uint32_t count) -> OutcomeCounts {
  OutcomeCounts counts{};
  counts.at(static_cast<std::size_t>(outcome)) = count;
  return counts;
}

/// A judgement of a service's endpoints e0, e1, ... and the time.
struct Judged {
  explicit Judged(int endpoints) {
    for (int i = 0; i < endpoints; ++i) {
      PutEndpoint(m_directory, {.m_id = Id(i), .m_service = kService});
    }
  }

  auto Report(const HostId& host,
              int endpoint,
              EndpointOutcome outcome,
              std::uint32_t count = 1) -> void {
    TakeReport(m_judgement, m_directory, host,
               {{Id(endpoint), Outcomes(outcome, count)}}, m_now);
  }

  auto Wait(Duration time) -> void {
    const auto end = m_now + time;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(25);
      AdvanceJudgement(m_judgement, m_directory, m_now);
    }
  }

  auto Share(int endpoint) const -> double {
    const auto shares = SharesOf(m_judgement, m_directory);
    const auto found = shares.find(Id(endpoint));
    return found == shares.end() ? 1 : found->second;
  }

  auto Probe() -> std::optional<ProbeOrder> {
    return TakeProbe(m_judgement, m_directory, {.m_service = kService}, m_now);
  }

  EndpointDirectory m_directory;
  EndpointJudgement m_judgement;
  TimePoint m_now = kStart;
};

TEST_CASE("three failures seen by two hosts put an endpoint out of use") {
  Judged judged(10);
  judged.Report(kHostA, 0, EndpointOutcome::kLost, 2);
  CHECK(judged.Share(0) == 1);
  judged.Report(kHostB, 0, EndpointOutcome::kLost);
  CHECK(judged.Share(0) == 0);
  CHECK(judged.Share(1) == 1);
}

TEST_CASE("failures of one host beside others' successes are its link's") {
  Judged judged(10);
  judged.Report(kHostB, 0, EndpointOutcome::kServed);
  judged.Report(kHostA, 0, EndpointOutcome::kUnreachable, 20);
  CHECK(judged.Share(0) == 1);
}

TEST_CASE("an endpoint that fails a part of its requests is put out of use") {
  Judged judged(10);
  for (int i = 1; i < 10; ++i) {
    judged.Report(kHostA, i, EndpointOutcome::kServed, 20);
  }
  judged.Report(kHostA, 0, EndpointOutcome::kServed, 30);
  judged.Report(kHostA, 0, EndpointOutcome::kFailed, 6);
  judged.Report(kHostB, 0, EndpointOutcome::kFailed, 6);
  CHECK(judged.Share(0) == 0);
}

TEST_CASE("a share of failures that all endpoints have takes none out") {
  Judged judged(10);
  for (int i = 0; i < 10; ++i) {
    for (const auto& host : {kHostA, kHostB}) {
      judged.Report(host, i, EndpointOutcome::kServed, 15);
      judged.Report(host, i, EndpointOutcome::kFailed, 5);
    }
  }
  CHECK(SharesOf(judged.m_judgement, judged.m_directory).empty());
}

TEST_CASE("one probe at a time, and a return in steps") {
  Judged judged(10);
  judged.Report(kHostA, 0, EndpointOutcome::kLost, 3);
  CHECK_FALSE(judged.Probe());
  judged.Wait(judged.m_judgement.m_options.m_first_probe);
  CHECK(judged.Probe());
  CHECK_FALSE(judged.Probe());
  CHECK(judged.Share(0) == 0);
  judged.Report(kHostA, 0, EndpointOutcome::kServed);
  CHECK(judged.Share(0) == 0.25);
  judged.Report(kHostA, 0, EndpointOutcome::kServed, 5);
  judged.Wait(judged.m_judgement.m_options.m_step_time);
  CHECK(judged.Share(0) == 0.5);
  judged.Wait(judged.m_judgement.m_options.m_max_step_time);
  CHECK(judged.Share(0) == 1);
}

TEST_CASE("a failed probe and a failure in the return double the wait") {
  Judged judged(10);
  const auto first = judged.m_judgement.m_options.m_first_probe;
  judged.Report(kHostA, 0, EndpointOutcome::kLost, 3);
  judged.Wait(first);
  REQUIRE(judged.Probe());
  judged.Report(kHostA, 0, EndpointOutcome::kLost);
  judged.Wait(first);
  CHECK_FALSE(judged.Probe());
  judged.Wait(first);
  REQUIRE(judged.Probe());
  judged.Report(kHostA, 0, EndpointOutcome::kServed);
  judged.Report(kHostA, 0, EndpointOutcome::kLost);
  judged.Wait(3 * first);
  CHECK_FALSE(judged.Probe());
  judged.Wait(first);
  CHECK(judged.Probe());
}

TEST_CASE("a probe without outcome is given out again, then for any request") {
  Judged judged(10);
  judged.Report(kHostA, 0, EndpointOutcome::kLost, 3);
  judged.Wait(judged.m_judgement.m_options.m_first_probe);
  const auto probe = judged.Probe();
  REQUIRE(probe);
  CHECK_FALSE(probe->m_any);
  judged.Wait(judged.m_judgement.m_options.m_any_probe_wait);
  const auto again = judged.Probe();
  REQUIRE(again);
  CHECK(again->m_any);
}

TEST_CASE("no more than the permitted share of a service is out of use") {
  Judged judged(10);
  for (int i = 0; i < 5; ++i) {
    judged.Report(kHostA, i, EndpointOutcome::kFailed, 5);
  }
  CHECK(SharesOf(judged.m_judgement, judged.m_directory).size() == 3);
}

TEST_CASE("if most endpoints look bad, all are in use") {
  Judged judged(10);
  for (int i = 0; i < 6; ++i) {
    judged.Report(kHostA, i, EndpointOutcome::kFailed, 5);
  }
  CHECK(SharesOf(judged.m_judgement, judged.m_directory).empty());
}

TEST_CASE("unreachable endpoints are out of use up to the floor") {
  Judged judged(8);
  for (int i = 0; i < 8; ++i) {
    judged.Report(kHostA, i, EndpointOutcome::kUnreachable, 3);
  }
  CHECK(SharesOf(judged.m_judgement, judged.m_directory).size() == 6);
}

TEST_CASE("a restarted endpoint starts anew") {
  Judged judged(10);
  judged.Report(kHostA, 0, EndpointOutcome::kLost, 3);
  ForgetOutcomes(judged.m_judgement, Id(0));
  CHECK(judged.Share(0) == 1);
}

/// Endpoints of a randomized run; each fails a share of its requests.
struct RandomService {
  explicit RandomService(unsigned seed, int endpoints)
      : m_random(seed), m_judged(endpoints), m_fails(endpoints) {}

  auto Draw() -> double {
    return std::uniform_real_distribution<double>()(m_random);
  }

  /// Sends requests of both hosts for 25 ms.
  auto Step() -> void {
    for (int i = 0; i < static_cast<int>(m_fails.size()); ++i) {
      const auto share = m_judged.Share(i);
      if (Draw() >= share * 0.5) {
        continue;
      }
      Send(i);
    }
    if (const auto probe = m_judged.Probe()) {
      Send(std::stoi(probe->m_endpoint.value().substr(1)));
    }
    m_judged.Wait(std::chrono::milliseconds(25));
  }

  auto Send(int endpoint) -> void {
    const auto failed = Draw() < m_fails.at(static_cast<std::size_t>(endpoint));
    const auto kind =
        Draw() < 0.5 ? EndpointOutcome::kUnreachable : EndpointOutcome::kLost;
    m_judged.Report(Draw() < 0.5 ? kHostA : kHostB, endpoint,
                    failed ? kind : EndpointOutcome::kServed);
  }

  std::mt19937 m_random;
  Judged m_judged;
  std::vector<double> m_fails;
};

TEST_CASE("randomized: never below the floor, and always back") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937 sizes(seed);
    const auto count = 1 + static_cast<int>(sizes() % 30);
    RandomService service(seed, count);
    const auto& options = service.m_judged.m_judgement.m_options;
    for (int step = 0; step < 1200; ++step) {
      if (step % 100 == 0) {
        for (auto& fails : service.m_fails) {
          fails = service.Draw() < 0.3 ? service.Draw() : 0;
        }
      }
      service.Step();
      auto in_use = 0;
      for (int i = 0; i < count; ++i) {
        in_use += service.m_judged.Share(i) > 0 ? 1 : 0;
      }
      REQUIRE(in_use >= 1);
      REQUIRE(in_use >= options.m_min_in_use_share * count);
    }
    std::fill(service.m_fails.begin(), service.m_fails.end(), 0);
    const auto longest =
        options.m_first_probe * (1 << options.m_max_doublings) +
        options.m_probe_timeout + 4 * options.m_max_step_time;
    const auto end = service.m_judged.m_now + longest;
    while (service.m_judged.m_now < end) {
      service.Step();
    }
    REQUIRE(service.m_judged.m_judgement.m_unusual.empty());
  }
}

}  // namespace
}  // namespace dotterelshed
