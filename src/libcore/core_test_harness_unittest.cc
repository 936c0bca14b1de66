#include <algorithm>

#include "core_test_harness.h"

// The harness of core_test_harness.h.

namespace dotterelshed::core_test {

namespace {

const DomainId kDomain("d");
const PoolId kPool("d/0");

auto MakeConfig(Cost budget) -> std::shared_ptr<const DeskConfig> {
  auto config = std::make_shared<DeskConfig>();
  config->m_generation = Generation(1);
  auto& chat = config->m_services[ServiceId("chat")];
  chat.m_id = ServiceId("chat");
  chat.m_endpoints.push_back({.m_id = EndpointId("e1"),
                              .m_domain = kDomain,
                              .m_kv_capacity = Tokens(100000)});
  auto& book = config->m_services[ServiceId("book")];
  book.m_id = ServiceId("book");
  book.m_kind = ServiceKind::kPlain;
  book.m_repeatable = false;
  book.m_endpoints.push_back({.m_id = EndpointId("b1"), .m_domain = kDomain});
  config->m_default_class = ClassId("any");
  config->m_classes[ClassId("any")] = {.m_id = ClassId("any"),
                                       .m_budget = budget,
                                       .m_max_turns = 6,
                                       .m_repeat_limit = 3};
  return config;
}

}  // namespace

CoreTestHarness::CoreTestHarness(const CoreTestHarnessOptions& options) {
  for (auto i = 0; i < options.m_hosts; ++i) {
    auto core_options = options.m_core;
    core_options.m_self = ref(i);
    core_options.m_domain = kDomain;
    core_options.m_charts_dir = DOTTERELSHED_CHARTS_DIR;
    auto core = MakeCore(core_options);
    DOTTERELSHED_CHECK(core.has_value());
    m_cores.push_back(*core);
    m_table.m_members[ref(i).m_host] = {.m_incarnation = Incarnation(1)};
  }
  m_table.m_domain = kDomain;
  m_table.m_lead = ref(0);
  m_table.m_lead_term = Term(1);
  m_table.m_generation = Generation(1);
  const auto config = MakeConfig(options.m_budget);
  for (auto i = 0; i < options.m_hosts; ++i) {
    HandleEvent(i, ConfigArrived{config, ""});
  }
  ReassignPool(0, options.m_hosts > 1 ? 1 : -1);
  DeliverAll();
  m_other_effects.clear();
}

auto CoreTestHarness::ref(int host) const -> HostRef {
  return {HostId("h" + std::to_string(host)), Incarnation(1)};
}

auto CoreTestHarness::pool(int host) -> pvt::PoolState& {
  return m_cores[static_cast<std::size_t>(host)]->m_pools.at(kPool);
}

auto CoreTestHarness::HandleEvent(int host, const Event& event) -> void {
  auto& core = *m_cores[static_cast<std::size_t>(host)];
  for (const auto& effect : Step(core, event, m_now)) {
    if (const auto* send = std::get_if<SendPeer>(&effect)) {
      const auto to = std::stoi(send->m_to.value().substr(1));
      m_peer_messages.push_back({host, to, send->m_message});
    } else if (const auto* finish = std::get_if<FinishCall>(&effect)) {
      m_answers.push_back(finish->m_answer);
    } else if (const auto* start = std::get_if<StartAttempt>(&effect)) {
      m_starts.push_back(*start);
    } else if (const auto* release = std::get_if<ReleaseHold>(&effect)) {
      m_releases.push_back(*release);
    } else {
      m_other_effects.push_back(effect);
    }
  }
}

auto CoreTestHarness::ReassignPool(int primary, int holder) -> void {
  auto& pool = m_table.m_pools[kPool];
  m_table.m_version = m_table.m_version.Next();
  m_table.m_highest_term = m_table.m_highest_term.Next();
  pool.m_pool = kPool;
  pool.m_term = m_table.m_highest_term;
  if (pool.m_primary != ref(primary)) {
    pool.m_primary_since = pool.m_term;
  }
  pool.m_primary = ref(primary);
  pool.m_holder = holder < 0 ? HostRef{} : ref(holder);
  for (std::size_t i = 0; i < m_cores.size(); ++i) {
    HandleEvent(static_cast<int>(i), TableArrived{kDomain, m_table, false});
  }
}

auto CoreTestHarness::DeliverAll() -> void {
  constexpr auto kMost = 10000;
  for (auto i = 0; i < kMost && !m_peer_messages.empty(); ++i) {
    const auto mail = m_peer_messages.front();
    m_peer_messages.pop_front();
    HandleEvent(mail.m_to, PeerArrived{mail.m_message});
  }
}

auto CoreTestHarness::Advance(Duration duration) -> void {
  m_now += duration;
  for (std::size_t i = 0; i < m_cores.size(); ++i) {
    HandleEvent(static_cast<int>(i), Tick{});
  }
}

auto CoreTestHarness::MakeCall(const std::string& request, int turn) const
    -> CallRequest {
  CallRequest call{.m_request = RequestId(request),
                   .m_program = ProgramId("d.1"),
                   .m_root = ProgramId("d.1"),
                   .m_turn = Turn(turn),
                   .m_class = ClassId("any"),
                   .m_content = Digest("content" + std::to_string(turn)),
                   .m_max_tokens = Tokens(10),
                   .m_cost_bound = Cost(100),
                   .m_deadline = m_now + std::chrono::seconds(60)};
  call.m_service = ServiceId("chat");
  if (turn > 1) {
    call.m_token = m_token;
  }
  return call;
}

auto CoreTestHarness::FinishLastAttempt(int host,
                                        AttemptEnd end,
                                        const std::string& body) -> void {
  HandleEvent(host, AttemptFinished{m_starts.back().m_attempt,
                                    {.m_end = end,
                                     .m_http_status = 200,
                                     .m_body = body,
                                     .m_usage = {.m_cost = Cost(10)}}});
}

auto CoreTestHarness::RunTurn(int host, int turn) -> CallAnswer {
  HandleEvent(host, CallArrived{MakeCall("run" + std::to_string(turn), turn)});
  DeliverAll();
  FinishLastAttempt(host, AttemptEnd::kCompleted,
                    "answer" + std::to_string(turn));
  DeliverAll();
  m_token = m_answers.back().m_token;
  return m_answers.back();
}

}  // namespace dotterelshed::core_test
