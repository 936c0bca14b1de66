#include "turn_codec.h"

#include <capnp/message.h>

#include <algorithm>

#include "call_codec.h"

namespace dotterelshed {

namespace {

namespace rpc = turn_rpc;

auto ToText(capnp::Text::Reader text) -> std::string {
  return {text.cStr(), text.size()};
}

template <typename Id>
auto ToId(capnp::Text::Reader text) -> Id {
  return Id(ToText(text));
}

auto Write(const TurnRecord& record, rpc::TurnRecord::Builder out) -> void {
  out.setTurn(record.m_turn.value());
  out.setRequest(record.m_request.value());
  out.setContent(record.m_content.value());
  out.setChain(record.m_chain.value());
  out.setOutcome(static_cast<std::uint16_t>(record.m_outcome));
  out.setReason(static_cast<std::uint16_t>(record.m_reason));
  out.setHttpStatus(record.m_http_status);
  auto answer = out.initAnswer(record.m_answer.size());
  std::copy(record.m_answer.begin(), record.m_answer.end(), answer.begin());
  WriteUsage(record.m_usage, out.initUsage());
  out.setProvisional(record.m_provisional);
}

auto Read(rpc::TurnRecord::Reader in) -> TurnRecord {
  const auto answer = in.getAnswer().asChars();
  return {.m_turn = Turn(in.getTurn()),
          .m_request = ToId<RequestId>(in.getRequest()),
          .m_content = ToId<Digest>(in.getContent()),
          .m_chain = ToId<Digest>(in.getChain()),
          .m_outcome = static_cast<OutcomeKind>(in.getOutcome()),
          .m_reason = static_cast<ReasonCode>(in.getReason()),
          .m_http_status = in.getHttpStatus(),
          .m_answer = std::string(answer.begin(), answer.size()),
          .m_usage = ReadUsage(in.getUsage()),
          .m_provisional = in.getProvisional()};
}

auto Write(const Reservation& reservation, rpc::Reservation::Builder out)
    -> void {
  out.setRequest(reservation.m_request.value());
  out.setTurn(reservation.m_turn.value());
  out.setAmount(reservation.m_amount.value());
  WriteHostRef(reservation.m_host, out.initHost());
  out.setTerm(reservation.m_term.value());
  out.setFromEscrow(reservation.m_from_escrow);
}

auto Read(rpc::Reservation::Reader in) -> Reservation {
  return {.m_request = ToId<RequestId>(in.getRequest()),
          .m_turn = Turn(in.getTurn()),
          .m_amount = Cost(in.getAmount()),
          .m_host = ReadHostRef(in.getHost()),
          .m_term = Term(in.getTerm()),
          .m_from_escrow = in.getFromEscrow()};
}

auto Write(const SpendEntry& entry, rpc::SpendEntry::Builder out) -> void {
  WriteHostRef(entry.m_host, out.initHost());
  out.setTerm(entry.m_term.value());
  out.setFromEscrow(entry.m_from_escrow);
  out.setAmount(entry.m_amount.value());
}

auto Read(rpc::SpendEntry::Reader in) -> SpendEntry {
  return {.m_host = ReadHostRef(in.getHost()),
          .m_term = Term(in.getTerm()),
          .m_from_escrow = in.getFromEscrow(),
          .m_amount = Cost(in.getAmount())};
}

auto Write(const EscrowEntry& entry, rpc::EscrowEntry::Builder out) -> void {
  WriteHostRef(entry.m_host, out.initHost());
  out.setTerm(entry.m_term.value());
  out.setAmount(entry.m_amount.value());
}

auto Read(rpc::EscrowEntry::Reader in) -> EscrowEntry {
  return {.m_host = ReadHostRef(in.getHost()),
          .m_term = Term(in.getTerm()),
          .m_amount = Cost(in.getAmount())};
}

auto Write(const HoldRecord& hold, rpc::HoldRecord::Builder out) -> void {
  out.setId(hold.m_id.value());
  out.setEndpoint(hold.m_endpoint.value());
  out.setProgram(hold.m_program.value());
  out.setReleasePending(hold.m_release_pending);
}

auto Read(rpc::HoldRecord::Reader in) -> HoldRecord {
  return {.m_id = ToId<HoldId>(in.getId()),
          .m_endpoint = ToId<EndpointId>(in.getEndpoint()),
          .m_program = ToId<ProgramId>(in.getProgram()),
          .m_release_pending = in.getReleasePending()};
}

// Declared early, for the list functions.
auto Write(const BudgetLedger& ledger, rpc::BudgetLedger::Builder out) -> void;
auto Read(rpc::BudgetLedger::Reader in) -> BudgetLedger;
auto Write(const ProgramRecord& record, rpc::ProgramRecord::Builder out)
    -> void;
auto Read(rpc::ProgramRecord::Reader in) -> ProgramRecord;

/// Writes each item into the list that @p out has room for.
template <typename Item, typename List>
auto WriteList(const std::vector<Item>& items, List out) -> void {
  auto index = 0U;
  for (const auto& item : items) {
    Write(item, out[index]);
    ++index;
  }
}

template <typename Item, typename List>
auto ReadList(List in) -> std::vector<Item> {
  std::vector<Item> items;
  items.reserve(in.size());
  for (const auto item : in) {
    items.push_back(Read(item));
  }
  return items;
}

auto Write(const BudgetLedger& ledger, rpc::BudgetLedger::Builder out) -> void {
  out.setRoot(ledger.m_root.value());
  out.setBudget(ledger.m_budget.value());
  WriteList(ledger.m_spends, out.initSpends(ledger.m_spends.size()));
  WriteList(ledger.m_escrows, out.initEscrows(ledger.m_escrows.size()));
}

auto Read(rpc::BudgetLedger::Reader in) -> BudgetLedger {
  return {.m_root = ToId<ProgramId>(in.getRoot()),
          .m_budget = Cost(in.getBudget()),
          .m_spends = ReadList<SpendEntry>(in.getSpends()),
          .m_escrows = ReadList<EscrowEntry>(in.getEscrows())};
}

auto Write(const ProgramRecord& record, rpc::ProgramRecord::Builder out)
    -> void {
  out.setProgram(record.m_program.value());
  out.setRoot(record.m_root.value());
  out.setAccount(record.m_account.value());
  out.setClass(record.m_class.value());
  out.setSequence(record.m_sequence);
  WriteHostRef(record.m_writer, out.initWriter());
  out.setTerm(record.m_term.value());
  out.setTried(record.m_last_attempted.value());
  WriteList(record.m_turns, out.initTurns(record.m_turns.size()));
  if (record.m_open) {
    Write(*record.m_open, out.initOpen());
  }
  WriteList(record.m_holds, out.initHolds(record.m_holds.size()));
  out.setEnded(record.m_ended);
}

auto Read(rpc::ProgramRecord::Reader in) -> ProgramRecord {
  ProgramRecord record{.m_program = ToId<ProgramId>(in.getProgram()),
                       .m_root = ToId<ProgramId>(in.getRoot()),
                       .m_account = ToId<AccountId>(in.getAccount()),
                       .m_class = ToId<ClassId>(in.getClass()),
                       .m_sequence = in.getSequence(),
                       .m_writer = ReadHostRef(in.getWriter()),
                       .m_term = Term(in.getTerm()),
                       .m_last_attempted = Turn(in.getTried()),
                       .m_turns = ReadList<TurnRecord>(in.getTurns()),
                       .m_holds = ReadList<HoldRecord>(in.getHolds()),
                       .m_ended = in.getEnded()};
  if (in.hasOpen()) {
    record.m_open = Read(in.getOpen());
  }
  return record;
}

template <typename Message>
auto WriteEnvelope(const Message& message, rpc::Envelope::Builder out) -> void {
  out.setPool(message.m_pool.value());
  out.setTerm(message.m_term.value());
  WriteHostRef(message.m_from, out.initFrom());
}

template <typename Message>
auto ReadEnvelope(rpc::Envelope::Reader in) -> Message {
  Message message;
  message.m_pool = ToId<PoolId>(in.getPool());
  message.m_term = Term(in.getTerm());
  message.m_from = ReadHostRef(in.getFrom());
  return message;
}

template <typename Reply>
auto WriteReply(const Reply& message, rpc::ChangeReply::Builder out) -> void {
  WriteEnvelope(message, out.initEnvelope());
  out.setProgram(message.m_program.value());
  out.setSequence(message.m_sequence);
  out.setAccepted(message.m_accepted);
  out.setHighest(message.m_highest.value());
}

template <typename Reply>
auto ReadReply(rpc::ChangeReply::Reader in) -> Reply {
  auto message = ReadEnvelope<Reply>(in.getEnvelope());
  message.m_program = ToId<ProgramId>(in.getProgram());
  message.m_sequence = in.getSequence();
  message.m_accepted = in.getAccepted();
  message.m_highest = Term(in.getHighest());
  return message;
}

}  // namespace

auto WriteMessage(const ReserveRequest& message,
                  rpc::ReserveRequest::Builder out) -> void {
  WriteEnvelope(message, out.initEnvelope());
  out.setProgram(message.m_program.value());
  out.setSequence(message.m_sequence);
  Write(message.m_reservation, out.initReservation());
  out.setPreviousChain(message.m_previous_chain.value());
  Write(message.m_ledger, out.initLedger());
  if (message.m_new_program) {
    Write(*message.m_new_program, out.initNewProgram());
  }
}

auto ReadMessage(rpc::ReserveRequest::Reader in) -> ReserveRequest {
  auto message = ReadEnvelope<ReserveRequest>(in.getEnvelope());
  message.m_program = ToId<ProgramId>(in.getProgram());
  message.m_sequence = in.getSequence();
  message.m_reservation = Read(in.getReservation());
  message.m_previous_chain = ToId<Digest>(in.getPreviousChain());
  message.m_ledger = Read(in.getLedger());
  if (in.hasNewProgram()) {
    message.m_new_program = Read(in.getNewProgram());
  }
  return message;
}

auto WriteMessage(const ReserveReply& message, rpc::ChangeReply::Builder out)
    -> void {
  WriteReply(message, out);
}

auto ReadReserveReply(rpc::ChangeReply::Reader in) -> ReserveReply {
  return ReadReply<ReserveReply>(in);
}

auto WriteMessage(const AppendRequest& message, rpc::AppendRequest::Builder out)
    -> void {
  WriteEnvelope(message, out.initEnvelope());
  out.setProgram(message.m_program.value());
  out.setSequence(message.m_sequence);
  out.setPreviousChain(message.m_previous_chain.value());
  if (message.m_record) {
    Write(*message.m_record, out.initRecord());
  }
  Write(message.m_ledger, out.initLedger());
  WriteList(message.m_holds, out.initHolds(message.m_holds.size()));
  out.setEnded(message.m_ended);
}

auto ReadMessage(rpc::AppendRequest::Reader in) -> AppendRequest {
  auto message = ReadEnvelope<AppendRequest>(in.getEnvelope());
  message.m_program = ToId<ProgramId>(in.getProgram());
  message.m_sequence = in.getSequence();
  message.m_previous_chain = ToId<Digest>(in.getPreviousChain());
  if (in.hasRecord()) {
    message.m_record = Read(in.getRecord());
  }
  message.m_ledger = Read(in.getLedger());
  message.m_holds = ReadList<HoldRecord>(in.getHolds());
  message.m_ended = in.getEnded();
  return message;
}

auto WriteMessage(const AppendReply& message, rpc::ChangeReply::Builder out)
    -> void {
  WriteReply(message, out);
}

auto ReadAppendReply(rpc::ChangeReply::Reader in) -> AppendReply {
  return ReadReply<AppendReply>(in);
}

auto WriteMessage(const StateCopy& message, rpc::StateCopy::Builder out)
    -> void {
  WriteEnvelope(message, out.initEnvelope());
  WriteList(message.m_programs, out.initPrograms(message.m_programs.size()));
  WriteList(message.m_ledgers, out.initLedgers(message.m_ledgers.size()));
  out.setPart(message.m_part);
  out.setLast(message.m_last);
}

auto ReadMessage(rpc::StateCopy::Reader in) -> StateCopy {
  auto message = ReadEnvelope<StateCopy>(in.getEnvelope());
  message.m_programs = ReadList<ProgramRecord>(in.getPrograms());
  message.m_ledgers = ReadList<BudgetLedger>(in.getLedgers());
  message.m_part = in.getPart();
  message.m_last = in.getLast();
  return message;
}

auto WriteMessage(const StateCopyReply& message,
                  rpc::StateCopyReply::Builder out) -> void {
  WriteEnvelope(message, out.initEnvelope());
  out.setPart(message.m_part);
  out.setAccepted(message.m_accepted);
  out.setHighest(message.m_highest.value());
  WriteList(message.m_longer, out.initLonger(message.m_longer.size()));
  WriteList(message.m_ledgers, out.initLedgers(message.m_ledgers.size()));
}

auto ReadMessage(rpc::StateCopyReply::Reader in) -> StateCopyReply {
  auto message = ReadEnvelope<StateCopyReply>(in.getEnvelope());
  message.m_part = in.getPart();
  message.m_accepted = in.getAccepted();
  message.m_highest = Term(in.getHighest());
  message.m_longer = ReadList<ProgramRecord>(in.getLonger());
  message.m_ledgers = ReadList<BudgetLedger>(in.getLedgers());
  return message;
}

auto WriteMessage(const CollectRequest& message,
                  rpc::CollectRequest::Builder out) -> void {
  WriteEnvelope(message, out.initEnvelope());
  if (message.m_program) {
    out.setProgram(message.m_program->value());
  }
}

auto ReadMessage(rpc::CollectRequest::Reader in) -> CollectRequest {
  auto message = ReadEnvelope<CollectRequest>(in.getEnvelope());
  if (in.hasProgram()) {
    message.m_program = ToId<ProgramId>(in.getProgram());
  }
  return message;
}

auto WriteMessage(const CollectReply& message, rpc::CollectReply::Builder out)
    -> void {
  WriteEnvelope(message, out.initEnvelope());
  if (message.m_program) {
    out.setProgram(message.m_program->value());
  }
  WriteList(message.m_programs, out.initPrograms(message.m_programs.size()));
  WriteList(message.m_ledgers, out.initLedgers(message.m_ledgers.size()));
}

auto ReadMessage(rpc::CollectReply::Reader in) -> CollectReply {
  auto message = ReadEnvelope<CollectReply>(in.getEnvelope());
  if (in.hasProgram()) {
    message.m_program = ToId<ProgramId>(in.getProgram());
  }
  message.m_programs = ReadList<ProgramRecord>(in.getPrograms());
  message.m_ledgers = ReadList<BudgetLedger>(in.getLedgers());
  return message;
}

}  // namespace dotterelshed
