#include "capacity_desk.h"

#include <algorithm>
#include <chrono>

#include "dotterelshed/config_text.h"
#include "dotterelshed/error.h"
#include "dotterelshed/peer_codec.h"

namespace dotterelshed::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kDomain = "d";
constexpr auto kModel = "m";
constexpr auto kBootTick = std::chrono::milliseconds(50);
constexpr auto kBootTime = std::chrono::seconds(10);

auto Push(Desk& desk, std::size_t host, Event event, std::int64_t bytes = 0)
    -> void {
  desk.m_queue.push_back(
      {.m_host = host, .m_event = std::move(event), .m_bytes = bytes});
}

auto FindHost(const Desk& desk, const HostId& host) -> std::size_t {
  const auto found = std::find_if(
      desk.m_hosts.begin(), desk.m_hosts.end(),
      [&host](const DeskHost& entry) { return entry.m_ref.m_host == host; });
  DOTTERELSHED_CHECK(found != desk.m_hosts.end());
  return static_cast<std::size_t>(found - desk.m_hosts.begin());
}

/// Turns one host's effects into events.
struct EffectRunner {
  Desk& m_desk;
  std::size_t m_host;

  auto Self() -> DeskHost& { return m_desk.m_hosts[m_host]; }

  auto operator()(const SendPeer& effect) -> void {
    const auto bytes = EncodePeerMessage(effect.m_message);
    const auto size = static_cast<std::int64_t>(bytes.size());
    ++Self().m_cost.m_messages_sent;
    Self().m_cost.m_bytes_sent += size;
    Push(m_desk, FindHost(m_desk, effect.m_to), PeerArrived{effect.m_message},
         size);
  }
  auto operator()(const StartAttempt& effect) -> void {
    AttemptResult result{
        .m_end = AttemptEnd::kCompleted,
        .m_http_status = 200,
        .m_body = std::string(
            static_cast<std::size_t>(m_desk.m_options.m_answer_bytes), 'a')};
    result.m_usage = {.m_prompt = effect.m_call.m_prompt_tokens,
                      .m_generated = effect.m_call.m_max_tokens,
                      .m_cost = Cost(1)};
    Push(m_desk, m_host, AttemptFinished{effect.m_attempt, result});
  }
  auto operator()(const FinishCall& effect) -> void {
    m_desk.m_answers[effect.m_answer.m_request] = effect.m_answer;
  }
  auto operator()(const ReadTable& effect) -> void {
    ++Self().m_cost.m_table_reads;
    TableArrived answer{
        .m_domain = effect.m_domain,
        .m_table = tl::unexpected<Error>(Error{ErrorCode::kNotFound, "", ""})};
    if (m_desk.m_table.m_version != ResourceVersion(0)) {
      answer.m_table = m_desk.m_table;
    }
    Push(m_desk, m_host, answer);
  }
  auto operator()(const PutTable& effect) -> void {
    ++Self().m_cost.m_table_writes;
    if (effect.m_table.m_version != m_desk.m_table.m_version) {
      Push(m_desk, m_host,
           TableArrived{.m_domain = effect.m_table.m_domain,
                        .m_table = tl::unexpected<Error>(
                            Error{ErrorCode::kConflict, "", ""})});
      return;
    }
    m_desk.m_table = effect.m_table;
    m_desk.m_table.m_version = effect.m_table.m_version.Next();
    for (auto i = std::size_t{0}; i < m_desk.m_hosts.size(); ++i) {
      if (i == m_host || m_desk.m_hosts[i].m_lead) {
        Push(m_desk, i,
             TableArrived{.m_domain = m_desk.m_table.m_domain,
                          .m_table = m_desk.m_table,
                          .m_from_put = i == m_host});
      }
    }
  }
  auto operator()(const SetLeadDuty& effect) -> void {
    Self().m_lead = effect.m_active;
  }
  auto operator()(const ReleaseHold& effect) -> void {
    Push(m_desk, m_host,
         HoldReleased{.m_hold = effect.m_hold,
                      .m_endpoint = effect.m_endpoint,
                      .m_released = true});
  }
  auto operator()(const auto& /*other*/) -> void {}
};

auto RunEvent(Desk& desk, const QueuedEvent& queued) -> void {
  auto& host = desk.m_hosts[queued.m_host];
  const auto begin = Clock::now();
  const auto effects = Step(*host.m_core, queued.m_event, desk.m_now);
  const auto spent = Clock::now() - begin;
  host.m_cost.m_step_time +=
      std::chrono::duration_cast<std::chrono::nanoseconds>(spent);
  ++host.m_cost.m_steps;
  host.m_cost.m_bytes_received += queued.m_bytes;
  for (const auto& effect : effects) {
    std::visit(EffectRunner{desk, queued.m_host}, effect);
  }
}

auto HasOwners(const Desk& desk) -> bool {
  const auto& pools = desk.m_table.m_pools;
  return !pools.empty() &&
         std::all_of(pools.begin(), pools.end(), [](const auto& entry) {
           return !entry.second.m_primary.m_host.empty() &&
                  !entry.second.m_holder.m_host.empty();
         });
}

auto MakeHost(const DeskOptions& options, int number) -> DeskHost {
  const auto name = "h" + std::to_string(number);
  DeskHost host;
  host.m_ref = {HostId(name), Incarnation(1)};
  auto core =
      MakeCore({.m_self = host.m_ref,
                .m_domain = DomainId(kDomain),
                .m_addresses = {.m_peer = "10.0.0.1:1", .m_http = "10.0.0.1:2"},
                .m_seed = static_cast<std::uint64_t>(number) + 1,
                .m_charts_dir = DOTTERELSHED_CHARTS_DIR,
                .m_max_programs = options.m_max_programs});
  DOTTERELSHED_CHECK(core);
  host.m_core = *core;
  return host;
}

}  // namespace

auto MakeDeskText(int endpoints) -> std::string {
  return R"({"desk": "c", "domains": ["d"], "default_class": "k",
    "services": [ {"name": "s", "kind": "model",
      "models": [ {"name": "m", "version": "1"} ],
      "endpoints": [ {"name": "e", "domain": "d", "address": "10.1.0.1:80",
        "kv_tokens": 400000, "count": )" +
         std::to_string(endpoints) + R"(} ] } ],
    "classes": [ {"name": "k", "budget": "1000 EUR", "max_turns": 320,
      "idle_limit": "24h"} ],
    "accounts": [ {"name": "a"} ] })";
}

auto StartDesk(const DeskOptions& options) -> Desk {
  Desk desk{.m_options = options};
  const auto text = MakeDeskText(options.m_endpoints);
  auto check = CheckConfigText(text, Generation(1));
  DOTTERELSHED_CHECK(check.ok());
  const auto config =
      std::make_shared<const DeskConfig>(std::move(check.m_config));
  for (auto i = 0; i < options.m_hosts; ++i) {
    desk.m_hosts.push_back(MakeHost(options, i));
    Push(desk, desk.m_hosts.size() - 1, ConfigArrived{config, text});
  }
  Settle(desk);
  Pass(desk, kBootTime, kBootTick);
  DOTTERELSHED_CHECK(HasOwners(desk));
  return desk;
}

auto Settle(Desk& desk) -> void {
  while (!desk.m_queue.empty()) {
    const auto event = std::move(desk.m_queue.front());
    desk.m_queue.pop_front();
    RunEvent(desk, event);
  }
}

auto Pass(Desk& desk, Duration duration, Duration tick) -> void {
  const auto end = desk.m_now + duration;
  while (desk.m_now < end) {
    desk.m_now += tick;
    for (auto i = std::size_t{0}; i < desk.m_hosts.size(); ++i) {
      Push(desk, i, Tick{});
    }
    Settle(desk);
  }
}

auto MakeCall(const ProgramId& program,
              const std::string& request,
              const std::optional<ContinuationToken>& token) -> CallRequest {
  CallRequest call;
  call.m_request = RequestId(program.value() + ":" + request);
  call.m_program = program;
  call.m_root = program;
  call.m_token = token;
  call.m_account = AccountId("a");
  call.m_class = ClassId("k");
  call.m_service = ServiceId("s");
  call.m_model = ModelId(kModel);
  call.m_content = Digest(call.m_request.value());
  call.m_prompt_tokens = Tokens(1000);
  call.m_max_tokens = Tokens(200);
  call.m_cost_bound = Cost(1200);
  call.m_deadline = TimePoint::max();
  return call;
}

auto RunCall(Desk& desk, const CallRequest& call) -> CallAnswer {
  Push(desk, PrimaryOf(desk), CallArrived{call});
  Settle(desk);
  const auto found = desk.m_answers.find(call.m_request);
  DOTTERELSHED_CHECK(found != desk.m_answers.end());
  auto answer = std::move(found->second);
  desk.m_answers.erase(found);
  return answer;
}

auto PrimaryOf(const Desk& desk) -> std::size_t {
  return FindHost(desk, desk.m_table.m_pools.begin()->second.m_primary.m_host);
}

auto HolderOf(const Desk& desk) -> std::size_t {
  return FindHost(desk, desk.m_table.m_pools.begin()->second.m_holder.m_host);
}

auto LeadOf(const Desk& desk) -> std::size_t {
  return FindHost(desk, desk.m_table.m_lead.m_host);
}

auto ResetCosts(Desk& desk) -> void {
  for (auto& host : desk.m_hosts) {
    host.m_cost = {};
  }
}

}  // namespace dotterelshed::bench
