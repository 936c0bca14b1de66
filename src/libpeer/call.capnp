@0xc1a5f0a1d0e84b01;
# Calls, answers and continuation tokens as hosts forward them to each other.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("dotterelshed::wire");

struct HostRef {
  host @0 :Text;
  incarnation @1 :Int64;
}

struct ContinuationToken {
  program @0 :Text;
  turn @1 :Int64;
  chain @2 :Text;
  holders @3 :List(HostRef);
  spentMicros @4 :Int64;
}

struct OptionalText {
  union {
    none @0 :Void;
    some @1 :Text;
  }
}

struct OptionalInt64 {
  union {
    none @0 :Void;
    some @1 :Int64;
  }
}

struct OptionalToken {
  union {
    none @0 :Void;
    some @1 :ContinuationToken;
  }
}

struct CallRequest {
  request @0 :Text;
  program @1 :Text;
  root @2 :Text;
  parent @3 :OptionalText;
  turn @4 :Int64;
  token @5 :OptionalToken;
  key @6 :OptionalText;
  account @7 :Text;
  class @8 :Text;
  kind @9 :UInt16;
  service @10 :Text;
  model @11 :Text;
  body @12 :Data;
  path @13 :Text;
  content @14 :Text;
  promptTokens @15 :Int64;
  maxTokens @16 :Int64;
  costBoundMicros @17 :Int64;
  budgetMicros @18 :OptionalInt64;
  deadlineInUs @19 :Int64;
  # Time left on the sender's clock; the receiver adds its own.
  repeatable @20 :Bool;
  stream @21 :Bool;
  endProgram @22 :Bool;
  expectedPauseUs @23 :Int64;
}

struct Usage {
  prompt @0 :Int64;
  cached @1 :Int64;
  generated @2 :Int64;
  costMicros @3 :Int64;
}

struct CallAnswer {
  request @0 :Text;
  program @1 :Text;
  turn @2 :Int64;
  outcome @3 :UInt16;
  reason @4 :UInt16;
  message @5 :Text;
  body @6 :Data;
  httpStatus @7 :Int32;
  usage @8 :Usage;
  spentMicros @9 :Int64;
  remainingMicros @10 :Int64;
  retryAfterUs @11 :OptionalInt64;
  token @12 :OptionalToken;
  provisional @13 :Bool;
}
