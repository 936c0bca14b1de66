#include "call_check.h"

#include "program/hold_reclaim.h"
#include "program/pool_budget.h"
#include "program/program_limits.h"
#include "replication/change_replication.h"
#include "replication/turn_primary.h"

namespace dotterelshed::pvt {

namespace {

constexpr std::size_t kMaxWaiters = 16;
/// Budget of a program tree without a configured budget; practically unlimited.
constexpr auto kNoBudget = Cost(std::int64_t{1} << 60U);

auto IsSameCall(const CallRequest& a, const CallRequest& b) -> bool {
  return a.m_request == b.m_request || a.m_content == b.m_content;
}

/// Number of identical calls at the end of the history.
auto TrailingRepeats(const ProgramRecord& record, const Digest& content)
    -> int {
  auto count = 0;
  for (auto turn = record.m_turns.rbegin();
       turn != record.m_turns.rend() && turn->m_content == content; ++turn) {
    ++count;
  }
  return count;
}

auto ClassOf(const HostCore& core, const ClassId& id) -> ClassConfig {
  const auto found = core.m_config->m_classes.find(id);
  if (found != core.m_config->m_classes.end()) {
    return found->second;
  }
  const auto fallback =
      core.m_config->m_classes.find(core.m_config->m_default_class);
  return fallback == core.m_config->m_classes.end() ? ClassConfig{}
                                                    : fallback->second;
}

auto EnsureLedger(StepContext& step, PoolState& pool, const CallRequest& call)
    -> void {
  auto& ledger = pool.m_store.m_ledgers[call.m_root];
  if (ledger.m_root.empty()) {
    const auto& core = step.m_core;
    ledger.m_root = call.m_root;
    ledger.m_budget =
        call.m_budget.value_or(ClassOf(core, call.m_class).m_budget);
    if (ledger.m_budget == Cost(0)) {
      ledger.m_budget = kNoBudget;
    }
    OpenEscrows(step, pool, ledger);
  }
}

auto EnsureProgram(StepContext& step, PoolState& pool, const CallRequest& call)
    -> ProgramEntry* {
  EnsureLedger(step, pool, call);
  auto* entry = FindProgram(pool.m_store, call.m_program);
  if (entry != nullptr) {
    return entry;
  }
  if (!HasProgramCapacity(step.m_core)) {
    return nullptr;
  }
  const ProgramRecord record{.m_program = call.m_program,
                             .m_root = call.m_root,
                             .m_account = call.m_account,
                             .m_class = call.m_class};
  return &InsertProgram(pool.m_store, record, step.m_now);
}

/// Attaches a repeat to the call that is already running, or refuses it.
auto JoinOpenCall(StepContext& step,
                  PoolState& pool,
                  PendingCall& call,
                  const RequestId& open,
                  bool same_history) -> void {
  auto& running = pool.m_calls.at(open);
  const auto same_turn =
      same_history && call.m_call.m_turn == running.m_call.m_turn;
  if (!same_turn || !IsSameCall(call.m_call, running.m_call)) {
    RefuseRetryable(step, pool, call, ReasonCode::kTurnOutOfOrder,
                    "another call of the program is running");
    return;
  }
  if (running.m_waiters.size() >= kMaxWaiters) {
    RefuseRetryable(step, pool, call, ReasonCode::kOverLimit,
                    "too many concurrent requests for the same call");
    return;
  }
  running.m_waiters.push_back(call.m_call.m_request);
  call.m_state = CallState::kReleased;
}

auto EndForLimit(StepContext& step,
                 PoolState& pool,
                 PendingCall& call,
                 ProgramEntry& entry,
                 ReasonCode reason,
                 const std::string& message) -> void {
  Refuse(step, pool, call, reason, message);
  EndTree(step, pool, entry.m_record.m_program);
}

/// Handles a new turn at the end of the history.
auto AcceptTurn(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                ProgramEntry& entry) -> void {
  const auto& request = call.m_call;
  const auto limits = ClassOf(step.m_core, request.m_class);
  const auto tried = entry.m_record.m_last_attempted >= request.m_turn;
  call.m_first = !tried && !request.m_key;
  call.m_may_have_run = tried;
  if (entry.m_record.m_ended) {
    Refuse(step, pool, call, ReasonCode::kProgramEnded,
           "the program has ended");
    return;
  }
  if (request.m_turn.value() > limits.m_max_turns) {
    EndForLimit(step, pool, call, entry, ReasonCode::kOverLimit,
                "the program has reached its turn limit and was ended");
    return;
  }
  if (TrailingRepeats(entry.m_record, request.m_content) >=
      limits.m_repeat_limit) {
    EndForLimit(step, pool, call, entry, ReasonCode::kLoopDetected,
                "identical calls in a row; the program was ended");
    return;
  }
  const auto provisional = ServesProvisionally(step.m_core, pool, step.m_now);
  if (provisional && entry.m_record.m_open) {
    RefuseRetryable(
        step, pool, call, ReasonCode::kNotOwner,
        "the unreachable primary may still be running a call of the program");
    return;
  }
  if (call.m_needs_claim && provisional) {
    Refuse(step, pool, call, ReasonCode::kNoPlatform,
           "the call is non-idempotent and can't be claimed during the outage");
    return;
  }
  pool.m_open[request.m_program] = request.m_request;
  AdvanceCall(step, pool, call, CallEvent::kAccepted);
}

/// Handles a turn that is already in the history.
auto AnswerRepeat(StepContext& step,
                  PoolState& pool,
                  PendingCall& call,
                  ProgramEntry& entry,
                  const TurnRecord& turn) -> void {
  const auto& request = call.m_call;
  if (turn.m_content != request.m_content &&
      turn.m_request != request.m_request) {
    Refuse(step, pool, call, ReasonCode::kTurnOutOfOrder,
           "the turn was taken by a different call");
    return;
  }
  const auto holder = pool.m_role == PoolRole::kHolder;
  if (holder && !turn.m_provisional &&
      step.m_core.m_options.m_mechanisms.m_holder_withholds_repeats) {
    // The primary may have missed this host's confirmation and continue with
    // another copy holder, so only the primary can confirm this turn.
    RefuseRetryable(step, pool, call, ReasonCode::kNotOwner,
                    "the stored answer can't be confirmed now");
    return;
  }
  const auto elsewhere =
      pool.m_mode == CopyMode::kSpare && entry.m_confirmed_by != pool.m_target;
  if (elsewhere && !pool.m_changes.contains(request.m_program)) {
    ReplicateProgram(step, pool, entry);  // The spare must confirm it first.
  }
  if (pool.m_changes.contains(request.m_program)) {
    RefuseRetryable(step, pool, call, ReasonCode::kNotOwner,
                    "the stored answer is not confirmed yet");
    return;
  }
  AnswerFromRecord(step, pool, entry.m_record, turn, request.m_request);
  call.m_state = CallState::kReleased;
}

/// Position stated by the call's token: the preceding turn and its chain
/// digest.
struct Position {
  Turn m_after;
  Digest m_chain;
};

auto PositionOf(const CallRequest& call) -> Position {
  if (!call.m_token) {
    return {};
  }
  return {call.m_token->m_turn, call.m_token->m_chain};
}

/// Refuses a call whose token matches no history known here or fetched from
/// other hosts.
auto RefuseUnknownHistory(StepContext& step,
                          PoolState& pool,
                          PendingCall& call,
                          const Position& position) -> void {
  step.m_out.push_back(
      WriteLog{LogEventId::kHistoryMismatch,
               {{"program", call.m_call.m_program.value()},
                {"turn", std::to_string(position.m_after.value())}}});
  if (!call.m_fetch_from.empty()) {
    RefuseRetryable(
        step, pool, call, ReasonCode::kHomeUnreachable,
        "the hosts that hold the program's history did not respond");
    return;
  }
  Refuse(step, pool, call, ReasonCode::kBadToken,
         "the token does not match any recorded history");
}

/// Handles a call whose token matches the current history.
auto HandleTurn(StepContext& step,
                PoolState& pool,
                PendingCall& call,
                const Position& position) -> void {
  const auto& request = call.m_call;
  if (request.m_turn != position.m_after.Next()) {
    Refuse(step, pool, call, ReasonCode::kTurnOutOfOrder,
           "the turn does not follow the token's turn");
    return;
  }
  auto* entry = EnsureProgram(step, pool, request);
  if (entry == nullptr) {
    RefuseRetryable(step, pool, call, ReasonCode::kOverLimit,
                    "the host has reached its limit of programs");
    return;
  }
  entry->m_last_used = step.m_now;
  if (auto* root = FindProgram(pool.m_store, request.m_root); root != nullptr) {
    root->m_last_used = step.m_now;  // It waits for its sub-agent.
  }
  const auto* turn = FindTurn(entry->m_record, request.m_turn);
  if (turn != nullptr) {
    AnswerRepeat(step, pool, call, *entry, *turn);
    return;
  }
  AcceptTurn(step, pool, call, *entry);
}

}  // namespace

auto AnswerFromRecord(StepContext& step,
                      const PoolState& pool,
                      const ProgramRecord& record,
                      const TurnRecord& turn,
                      const RequestId& request) -> void {
  CallAnswer answer{.m_program = record.m_program,
                    .m_turn = turn.m_turn,
                    .m_outcome = turn.m_outcome,
                    .m_reason = turn.m_reason,
                    .m_body = turn.m_answer,
                    .m_http_status = turn.m_http_status,
                    .m_usage = turn.m_usage,
                    .m_provisional = turn.m_provisional};
  const auto last =
      record.m_turns.size() - static_cast<std::size_t>(turn.m_turn.value());
  const auto kept = step.m_core.m_options.m_max_stored_answers;
  if (turn.m_answer.empty() && last >= static_cast<std::size_t>(kept)) {
    answer.m_outcome = OutcomeKind::kUnknown;
    answer.m_reason = ReasonCode::kOverLimit;
    answer.m_message = "the turn ran, but its answer is no longer stored";
  }
  FillBudget(pool, record.m_root, answer);
  answer.m_token =
      ContinuationToken{.m_program = record.m_program,
                        .m_turn = turn.m_turn,
                        .m_chain = turn.m_chain,
                        .m_holders = {step.m_core.m_options.m_self},
                        .m_spent = answer.m_spent};
  if (pool.m_mode != CopyMode::kAlone) {
    answer.m_token->m_holders.push_back(pool.m_target);
  }
  SendAnswer(step, request, answer);
}

auto CheckCall(StepContext& step, PoolState& pool, PendingCall& call) -> void {
  auto& request = call.m_call;
  const auto position = PositionOf(request);
  if (request.m_token && request.m_token->m_program != request.m_program) {
    Refuse(step, pool, call, ReasonCode::kBadToken,
           "the token belongs to another program");
    return;
  }
  if (request.m_turn == Turn(0)) {
    request.m_turn = position.m_after.Next();
  }
  auto* entry = FindProgram(pool.m_store, request.m_program);
  const auto open = pool.m_open.find(request.m_program);
  if (open != pool.m_open.end()) {
    const auto chain = ChainAt(entry->m_record, position.m_after);
    JoinOpenCall(step, pool, call, open->second, chain == position.m_chain);
    return;
  }
  const auto checked = step.m_core.m_options.m_mechanisms.m_check_token;
  const auto known =
      !checked || position.m_after == Turn(0) ||
      (entry != nullptr &&
       SelectHistory(*entry, position.m_after, position.m_chain));
  if (!known && !call.m_fetched) {
    AdvanceCall(step, pool, call, CallEvent::kHistoryMissing);
    return;
  }
  if (!known) {
    RefuseUnknownHistory(step, pool, call, position);
    return;
  }
  HandleTurn(step, pool, call, position);
}

}  // namespace dotterelshed::pvt
