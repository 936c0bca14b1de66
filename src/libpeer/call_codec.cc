#include "call_codec.h"

#include <string>
#include <string_view>

namespace dotterelshed {

namespace {

auto ToData(std::string_view text) -> capnp::Data::Reader {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

auto FromData(capnp::Data::Reader data) -> std::string {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

template <typename Id>
auto ReadId(capnp::Text::Reader text) -> Id {
  return Id(std::string(text.cStr(), text.size()));
}

template <typename Id>
auto WriteOptionalId(const std::optional<Id>& id,
                     wire::OptionalText::Builder out) -> void {
  if (id) {
    out.setSome(id->value());
  } else {
    out.setNone();
  }
}

template <typename Id>
auto ReadOptionalId(wire::OptionalText::Reader in) -> std::optional<Id> {
  if (in.isSome()) {
    return ReadId<Id>(in.getSome());
  }
  return std::nullopt;
}

auto WriteToken(const std::optional<ContinuationToken>& token,
                wire::OptionalToken::Builder out) -> void {
  if (!token) {
    out.setNone();
    return;
  }
  auto some = out.initSome();
  some.setProgram(token->m_program.value());
  some.setTurn(token->m_turn.value());
  some.setChain(token->m_chain.value());
  auto holders = some.initHolders(token->m_holders.size());
  auto place = 0U;
  for (const auto& holder : token->m_holders) {
    WriteHostRef(holder, holders[place++]);
  }
  some.setSpentMicros(token->m_spent.value());
}

auto ReadToken(wire::OptionalToken::Reader in)
    -> std::optional<ContinuationToken> {
  if (!in.isSome()) {
    return std::nullopt;
  }
  const auto some = in.getSome();
  ContinuationToken token{.m_program = ReadId<ProgramId>(some.getProgram()),
                          .m_turn = Turn(some.getTurn()),
                          .m_chain = ReadId<Digest>(some.getChain()),
                          .m_spent = Cost(some.getSpentMicros())};
  for (const auto holder : some.getHolders()) {
    token.m_holders.push_back(ReadHostRef(holder));
  }
  return token;
}

template <typename Count>
auto WriteOptionalCount(const std::optional<Count>& count,
                        wire::OptionalInt64::Builder out) -> void {
  if (count) {
    out.setSome(count->value());
  } else {
    out.setNone();
  }
}

}  // namespace

auto WriteHostRef(const HostRef& host, wire::HostRef::Builder out) -> void {
  out.setHost(host.m_host.value());
  out.setIncarnation(host.m_incarnation.value());
}

auto ReadHostRef(wire::HostRef::Reader in) -> HostRef {
  return {.m_host = ReadId<HostId>(in.getHost()),
          .m_incarnation = Incarnation(in.getIncarnation())};
}

auto WriteUsage(const Usage& usage, wire::Usage::Builder out) -> void {
  out.setPrompt(usage.m_prompt.value());
  out.setCached(usage.m_cached.value());
  out.setGenerated(usage.m_generated.value());
  out.setCostMicros(usage.m_cost.value());
}

auto ReadUsage(wire::Usage::Reader in) -> Usage {
  return {.m_prompt = Tokens(in.getPrompt()),
          .m_cached = Tokens(in.getCached()),
          .m_generated = Tokens(in.getGenerated()),
          .m_cost = Cost(in.getCostMicros())};
}

auto WriteCall(const CallRequest& call,
               TimePoint now,
               wire::CallRequest::Builder out) -> void {
  out.setRequest(call.m_request.value());
  out.setProgram(call.m_program.value());
  out.setRoot(call.m_root.value());
  WriteOptionalId(call.m_parent, out.initParent());
  out.setTurn(call.m_turn.value());
  WriteToken(call.m_token, out.initToken());
  WriteOptionalId(call.m_key, out.initKey());
  out.setAccount(call.m_account.value());
  out.setClass(call.m_class.value());
  out.setKind(static_cast<std::uint16_t>(call.m_kind));
  out.setService(call.m_service.value());
  out.setModel(call.m_model.value());
  out.setBody(ToData(call.m_body));
  out.setPath(call.m_path);
  out.setContent(call.m_content.value());
  out.setPromptTokens(call.m_prompt_tokens.value());
  out.setMaxTokens(call.m_max_tokens.value());
  out.setCostBoundMicros(call.m_cost_bound.value());
  WriteOptionalCount(call.m_budget, out.initBudgetMicros());
  out.setDeadlineInUs((call.m_deadline - now).count());
  out.setRepeatable(call.m_repeatable);
  out.setStream(call.m_stream);
  out.setEndProgram(call.m_end_program);
  out.setExpectedPauseUs(call.m_expected_pause.count());
}

auto ReadCall(wire::CallRequest::Reader in, TimePoint now) -> CallRequest {
  CallRequest call{.m_request = ReadId<RequestId>(in.getRequest()),
                   .m_program = ReadId<ProgramId>(in.getProgram()),
                   .m_root = ReadId<ProgramId>(in.getRoot()),
                   .m_parent = ReadOptionalId<ProgramId>(in.getParent()),
                   .m_turn = Turn(in.getTurn()),
                   .m_token = ReadToken(in.getToken()),
                   .m_key = ReadOptionalId<IdempotencyKey>(in.getKey()),
                   .m_account = ReadId<AccountId>(in.getAccount()),
                   .m_class = ReadId<ClassId>(in.getClass()),
                   .m_kind = static_cast<ServiceKind>(in.getKind()),
                   .m_service = ReadId<ServiceId>(in.getService()),
                   .m_model = ReadId<ModelId>(in.getModel()),
                   .m_body = FromData(in.getBody()),
                   .m_path = std::string(in.getPath().cStr()),
                   .m_content = ReadId<Digest>(in.getContent()),
                   .m_prompt_tokens = Tokens(in.getPromptTokens()),
                   .m_max_tokens = Tokens(in.getMaxTokens()),
                   .m_cost_bound = Cost(in.getCostBoundMicros()),
                   .m_deadline = now + Duration(in.getDeadlineInUs()),
                   .m_repeatable = in.getRepeatable(),
                   .m_stream = in.getStream(),
                   .m_end_program = in.getEndProgram(),
                   .m_expected_pause = Duration(in.getExpectedPauseUs())};
  if (in.getBudgetMicros().isSome()) {
    call.m_budget = Cost(in.getBudgetMicros().getSome());
  }
  return call;
}

auto WriteAnswer(const CallAnswer& answer, wire::CallAnswer::Builder out)
    -> void {
  out.setRequest(answer.m_request.value());
  out.setProgram(answer.m_program.value());
  out.setTurn(answer.m_turn.value());
  out.setOutcome(static_cast<std::uint16_t>(answer.m_outcome));
  out.setReason(static_cast<std::uint16_t>(answer.m_reason));
  out.setMessage(answer.m_message);
  out.setBody(ToData(answer.m_body));
  out.setHttpStatus(answer.m_http_status);
  WriteUsage(answer.m_usage, out.initUsage());
  out.setSpentMicros(answer.m_spent.value());
  out.setRemainingMicros(answer.m_remaining.value());
  auto retry_after = out.initRetryAfterUs();
  if (answer.m_retry_after) {
    retry_after.setSome(answer.m_retry_after->count());
  }
  WriteToken(answer.m_token, out.initToken());
  out.setProvisional(answer.m_provisional);
}

auto ReadAnswer(wire::CallAnswer::Reader in) -> CallAnswer {
  CallAnswer answer{.m_request = ReadId<RequestId>(in.getRequest()),
                    .m_program = ReadId<ProgramId>(in.getProgram()),
                    .m_turn = Turn(in.getTurn()),
                    .m_outcome = static_cast<OutcomeKind>(in.getOutcome()),
                    .m_reason = static_cast<ReasonCode>(in.getReason()),
                    .m_message = std::string(in.getMessage().cStr()),
                    .m_body = FromData(in.getBody()),
                    .m_http_status = in.getHttpStatus(),
                    .m_usage = ReadUsage(in.getUsage()),
                    .m_spent = Cost(in.getSpentMicros()),
                    .m_remaining = Cost(in.getRemainingMicros()),
                    .m_token = ReadToken(in.getToken()),
                    .m_provisional = in.getProvisional()};
  if (in.getRetryAfterUs().isSome()) {
    answer.m_retry_after = Duration(in.getRetryAfterUs().getSome());
  }
  return answer;
}

}  // namespace dotterelshed
