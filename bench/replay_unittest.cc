#include "replay.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "experiments.h"

namespace dotterelshed::bench {
namespace {

auto ReadSample(const std::string& name) -> std::string {
  std::ifstream in(std::string(DOTTERELSHED_TRACES_DIR) + "/" + name +
                   ".jsonl");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

TEST_CASE("the generator still writes the traces that are checked in") {
  for (const auto& deployment : SampleDeployments()) {
    const auto& name = deployment.m_options.m_name;
    CHECK(FormatTrace(MakeTraces(deployment).m_slowed) == ReadSample(name));
  }
}

TEST_CASE("a checked-in trace replays the same way twice") {
  const auto trace = ParseTrace(ReadSample("vandstand"), "vandstand");
  REQUIRE(trace);
  const auto run = [&trace] {
    return RunReplay(*trace, MakePolicyScheduler(*trace, {}), {});
  };
  const auto first = run();
  const auto second = run();
  REQUIRE(first.m_programs.size() == second.m_programs.size());
  for (std::size_t i = 0; i < first.m_programs.size(); ++i) {
    CHECK(first.m_programs[i].m_program == second.m_programs[i].m_program);
    CHECK(first.m_programs[i].m_latency == second.m_programs[i].m_latency);
  }
  CHECK(first.m_attempts == second.m_attempts);
}

TEST_CASE("content that crashes endpoints takes down two, however often sent") {
  for (const auto* name : {"vandstand", "lagos"}) {
    const auto trace = ParseTrace(ReadSample(name), name);
    REQUIRE(trace);
    const auto result = RunReplay(*trace, MakePolicyScheduler(*trace, {}), {});
    CHECK(result.m_crashes <= 2);
    const auto baseline = RunReplay(
        *trace, MakeLeastOutstanding(trace->m_header.m_endpoints), {});
    CHECK(baseline.m_crashes == 3);
  }
}

TEST_CASE("an engine prefills in chunks, keeps prefixes and honours priority") {
  EngineModel engine;
  const auto finish = [&engine](TimePoint& now) {
    std::vector<AttemptId> done;
    EngineStep step;
    while (const auto length = BeginStep(engine, now, step)) {
      now += *length;
      EndStep(engine, now, step);
    }
    for (const auto& [id, result] : step.m_finished) {
      done.push_back(id);
    }
    return done;
  };
  TimePoint now;
  const EngineRequest first{.m_attempt = AttemptId("a"),
                            .m_program = ProgramId("p"),
                            .m_prompt = 1000,
                            .m_to_generate = 10};
  REQUIRE(Submit(engine, first, now));
  finish(now);
  const auto cold = now;
  REQUIRE(Submit(engine, first, now));
  finish(now);
  CHECK((now - cold) * 2 < cold - TimePoint{});

  engine.m_options.m_slots = 1;
  auto second = first;
  second.m_attempt = AttemptId("low");
  second.m_priority = 3;
  Submit(engine, second, now);
  Submit(engine, first, now);
  CHECK(finish(now) == std::vector{AttemptId("a"), AttemptId("low")});
}

}  // namespace
}  // namespace dotterelshed::bench
