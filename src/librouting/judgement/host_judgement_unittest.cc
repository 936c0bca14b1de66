#include "dotterelshed/host_judgement.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

const ServiceId kService("s");
const EndpointId kBad("bad");
const TimePoint kStart{std::chrono::seconds(100)};

struct Host {
  Host() {
    for (const auto* id : {"bad", "b", "c", "d", "e", "f"}) {
      PutEndpoint(m_directory, {.m_id = EndpointId(id), .m_service = kService});
    }
    m_judgement.m_enabled = true;
  }

  auto Note(EndpointOutcome outcome, int count) -> void {
    for (int i = 0; i < count; ++i) {
      NoteOutcome(m_judgement, m_directory, kBad, outcome, m_now);
    }
  }

  auto Wait(Duration time) -> void {
    const auto end = m_now + time;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(25);
      AdvanceHostJudgement(m_judgement, m_directory, m_now);
    }
  }

  auto Probe(bool repeatable) -> std::optional<EndpointId> {
    return ProbeFor(m_judgement, m_directory, kService, repeatable, m_now);
  }

  EndpointDirectory m_directory;
  HostJudgement m_judgement;
  TimePoint m_now = kStart;
};

TEST_CASE("a host that isn't told to judge records nothing") {
  Host host;
  host.m_judgement.m_enabled = false;
  host.Note(EndpointOutcome::kLost, 5);
  CHECK(host.m_judgement.m_shares.empty());
  CHECK(host.m_judgement.m_unreported.empty());
  CHECK_FALSE(IsReportDue(host.m_judgement, host.m_now));
}

TEST_CASE(
    "without a lead, a host's own outcomes put an endpoint out and back") {
  Host host;
  host.Note(EndpointOutcome::kLost, 3);
  CHECK(host.m_judgement.m_shares.at(kBad) == 0);
  CHECK(IsOutForHost(host.m_judgement, kBad));
  CHECK_FALSE(host.Probe(true));
  host.Wait(host.m_judgement.m_own.m_options.m_first_probe);
  CHECK_FALSE(host.Probe(false));
  CHECK(host.Probe(true) == kBad);
  CHECK_FALSE(host.Probe(true));
  host.Note(EndpointOutcome::kServed, 1);
  host.Wait(std::chrono::seconds(10));
  CHECK(host.m_judgement.m_shares.empty());
}

TEST_CASE("the lead's judgement holds for a while after its last answer") {
  Host host;
  TakeDomainJudgement(host.m_judgement, {.m_shares = {{kBad, 0}}}, host.m_now);
  host.Wait(std::chrono::seconds(1));
  CHECK(host.m_judgement.m_shares.at(kBad) == 0);
  CHECK_FALSE(IsOutForHost(host.m_judgement, kBad));
  host.Wait(std::chrono::seconds(3));
  CHECK(host.m_judgement.m_shares.empty());
}

TEST_CASE("the lead gives out the probes of what it has taken out") {
  Host host;
  host.Note(EndpointOutcome::kLost, 3);
  host.Wait(host.m_judgement.m_own.m_options.m_first_probe);
  TakeDomainJudgement(host.m_judgement, {.m_shares = {{kBad, 0}}}, host.m_now);
  CHECK_FALSE(host.Probe(true));
  TakeDomainJudgement(
      host.m_judgement,
      {.m_shares = {{kBad, 0}}, .m_probe = ProbeOrder{.m_endpoint = kBad}},
      host.m_now);
  CHECK_FALSE(host.Probe(false));
  CHECK(host.Probe(true) == kBad);
  CHECK_FALSE(host.Probe(true));
}

TEST_CASE("a probe that the lead ordered outlasts its next answers") {
  Host host;
  const DomainJudgement without{.m_shares = {{kBad, 0}}};
  auto with = without;
  with.m_probe = ProbeOrder{.m_endpoint = kBad};
  TakeDomainJudgement(host.m_judgement, with, host.m_now);
  TakeDomainJudgement(host.m_judgement, without, host.m_now);
  SECTION("until a request is made with it") {
    CHECK(host.Probe(true) == kBad);
    TakeDomainJudgement(host.m_judgement, without, host.m_now);
    CHECK_FALSE(host.Probe(true));
  }
  SECTION("or the lead gives it out again") {
    host.m_now += JudgementOptions().m_probe_timeout;
    TakeDomainJudgement(host.m_judgement, without, host.m_now);
    CHECK_FALSE(host.Probe(true));
  }
}

TEST_CASE("only what the lead needs to know at once causes a report") {
  Host host;
  host.Note(EndpointOutcome::kServed, 3);
  CHECK_FALSE(IsReportDue(host.m_judgement, host.m_now));
  host.Note(EndpointOutcome::kSilent, 1);
  CHECK(IsReportDue(host.m_judgement, host.m_now));
  const auto report = TakeUnreported(host.m_judgement, host.m_now);
  CHECK(CountOf(report.at(kBad), EndpointOutcome::kServed) == 3);
  // Another host's report may come later and decide.
  CHECK(IsReportDue(host.m_judgement, host.m_now));
  host.m_now += std::chrono::seconds(1);
  CHECK_FALSE(IsReportDue(host.m_judgement, host.m_now));
  TakeDomainJudgement(host.m_judgement, {.m_shares = {{kBad, 0}}}, host.m_now);
  host.Note(EndpointOutcome::kServed, 1);
  CHECK(IsReportDue(host.m_judgement, host.m_now));
}

TEST_CASE("a report names a bounded number of endpoints") {
  OutcomeReport report;
  for (int i = 0; i < 1000; ++i) {
    CountOutcome(report, EndpointId("e" + std::to_string(i)),
                 EndpointOutcome::kLost);
  }
  CHECK(report.size() == 64);
  CHECK(CountOutcome(report, EndpointId("e1"), EndpointOutcome::kServed));
}

}  // namespace
}  // namespace dotterelshed
