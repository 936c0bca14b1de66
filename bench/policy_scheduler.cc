#include "scheduler.h"

namespace dotterelshed::bench {

namespace {

/// Operators write a generous upper bound; the policy finds the real one.
constexpr int kConcurrencyFactor = 2;

auto ConfigOf(const Trace& trace) -> DeskConfig {
  DeskConfig config;
  for (const auto& entry : trace.m_classes) {
    config.m_classes[entry.m_id] = {.m_id = entry.m_id,
                                    .m_weight = entry.m_weight,
                                    .m_deadline = entry.m_deadline};
  }
  return config;
}

auto EndpointsOf(const TraceHeader& header) -> std::vector<EndpointConfig> {
  std::vector<EndpointConfig> out;
  out.reserve(static_cast<std::size_t>(header.m_endpoints));
  for (auto i = 0; i < header.m_endpoints; ++i) {
    out.push_back(
        {.m_id = EndpointName(i),
         .m_max_concurrency = header.m_engine_slots * kConcurrencyFactor,
         .m_kv_capacity = header.m_kv_capacity});
  }
  return out;
}

}  // namespace

auto MakePolicyScheduler(const Trace& trace, const PolicyOptions& options)
    -> Scheduler {
  auto with_chart = options;
  if (with_chart.m_endpoint_chart == nullptr) {
    const auto chart = LoadEndpointChart(DOTTERELSHED_CHARTS_DIR);
    DOTTERELSHED_CHECK(chart.has_value());
    with_chart.m_endpoint_chart = *chart;
  }
  auto policy = MakePoolPolicy(with_chart);
  SetPoolConfig(*policy, ConfigOf(trace), EndpointsOf(trace.m_header),
                TimePoint{});
  Scheduler out;
  out.m_name = "dotterelshed";
  out.m_admit = [policy](const ReplayCall& call, TimePoint now) {
    return Admit(*policy, call.m_call, now);
  };
  out.m_dispatch = [policy](TimePoint now) { return Dispatch(*policy, now); };
  out.m_progress = [policy](const AttemptId& attempt, Tokens generated,
                            TimePoint now) {
    Progress(*policy, attempt, generated, now);
  };
  out.m_finish = [policy](const AttemptId& attempt, const AttemptResult& result,
                          TimePoint now) {
    return Finish(*policy, attempt, result, now);
  };
  out.m_expire = [policy](TimePoint now) { return Expire(*policy, now); };
  out.m_next = [policy] { return NextDeadline(*policy); };
  out.m_load = [policy](const LoadReport& report, TimePoint now) {
    ApplyLoadReport(*policy, report, now);
  };
  out.m_end_program = [policy](const ProgramId& program) {
    return EndProgram(*policy, program);
  };
  return out;
}

}  // namespace dotterelshed::bench
