@0xd152e7a3a7d1bef5;
# Messages of the turn protocol; see turn_messages.h for their meaning.

using Cxx = import "/capnp/c++.capnp";
using Call = import "call.capnp";
$Cxx.namespace("dotterelshed::turn_rpc");

struct TurnRecord {
  turn @0 :Int64;
  request @1 :Text;
  content @2 :Text;
  chain @3 :Text;
  outcome @4 :UInt16;
  reason @5 :UInt16;
  httpStatus @6 :Int32;
  answer @7 :Data;
  usage @8 :Call.Usage;
  provisional @9 :Bool;
}

struct Reservation {
  request @0 :Text;
  turn @1 :Int64;
  amount @2 :Int64;
  host @3 :Call.HostRef;
  term @4 :Int64;
  fromEscrow @5 :Bool;
}

struct SpendEntry {
  host @0 :Call.HostRef;
  term @1 :Int64;
  fromEscrow @2 :Bool;
  amount @3 :Int64;
}

struct EscrowEntry {
  host @0 :Call.HostRef;
  term @1 :Int64;
  amount @2 :Int64;
}

struct BudgetLedger {
  root @0 :Text;
  budget @1 :Int64;
  spends @2 :List(SpendEntry);
  escrows @3 :List(EscrowEntry);
}

struct HoldRecord {
  id @0 :Text;
  endpoint @1 :Text;
  program @2 :Text;
  releasePending @3 :Bool;
}

struct ProgramRecord {
  program @0 :Text;
  root @1 :Text;
  account @2 :Text;
  class @3 :Text;
  sequence @4 :Int64;
  tried @5 :Int64;
  turns @6 :List(TurnRecord);
  open @7 :Reservation;
  holds @8 :List(HoldRecord);
  ended @9 :Bool;
  writer @10 :Call.HostRef;
  term @11 :Int64;
}

# Fields that every message of the protocol has.
struct Envelope {
  pool @0 :Text;
  term @1 :Int64;
  from @2 :Call.HostRef;
}

struct ReserveRequest {
  envelope @0 :Envelope;
  program @1 :Text;
  sequence @2 :Int64;
  reservation @3 :Reservation;
  previousChain @4 :Text;
  ledger @5 :BudgetLedger;
  newProgram @6 :ProgramRecord;
}

# Answer to ReserveRequest and to AppendRequest.
struct ChangeReply {
  envelope @0 :Envelope;
  program @1 :Text;
  sequence @2 :Int64;
  accepted @3 :Bool;
  highest @4 :Int64;
}

struct AppendRequest {
  envelope @0 :Envelope;
  program @1 :Text;
  sequence @2 :Int64;
  previousChain @3 :Text;
  record @4 :TurnRecord;
  ledger @5 :BudgetLedger;
  holds @6 :List(HoldRecord);
  ended @7 :Bool;
}

struct StateCopy {
  envelope @0 :Envelope;
  programs @1 :List(ProgramRecord);
  ledgers @2 :List(BudgetLedger);
  part @3 :Int32;
  last @4 :Bool;
}

struct StateCopyReply {
  envelope @0 :Envelope;
  part @1 :Int32;
  accepted @2 :Bool;
  highest @3 :Int64;
  longer @4 :List(ProgramRecord);
  ledgers @5 :List(BudgetLedger);
}

# An empty program asks for the whole pool.
struct CollectRequest {
  envelope @0 :Envelope;
  program @1 :Text;
}

struct CollectReply {
  envelope @0 :Envelope;
  program @1 :Text;
  programs @2 :List(ProgramRecord);
  ledgers @3 :List(BudgetLedger);
}
