@0x95782e7add1012e9;

# Wire form of membership_messages.h. Field numbers are never reused.

using Cxx = import "/capnp/c++.capnp";
using Call = import "call.capnp";
$Cxx.namespace("dotterelshed::schema");

struct HostAddresses {
  peer @0 :Text;
  http @1 :Text;
}

struct Heartbeat {
  from @0 :Call.HostRef;
  domain @1 :Text;
  addresses @2 :HostAddresses;
  tableVersion @3 :Int64;
  generation @4 :Int64;
  hasDisk @5 :Bool;
  draining @6 :Bool;
  quarantined @7 :List(Text);
  headroom @8 :Int32;
  newsSeen @9 :Int64;
  unconfirmed @10 :List(Text);
  pinned @11 :List(Text);
}

struct MemberInfo {
  host @0 :Call.HostRef;
  addresses @1 :HostAddresses;
  alive @2 :Bool;
  draining @3 :Bool;
  hasDisk @4 :Bool;
  generation @5 :Int64;
  headroom @6 :Int32;
}

struct PoolAssignment {
  pool @0 :Text;
  term @1 :Int64;
  primary @2 :Call.HostRef;
  holder @3 :Call.HostRef;
  primarySince @4 :Int64;
}

struct MemberRecord {
  host @0 :Text;
  incarnation @1 :Int64;
  addresses @2 :HostAddresses;
}

struct DomainTable {
  domain @0 :Text;
  version @1 :Int64;
  leadTerm @2 :Int64;
  lead @3 :Call.HostRef;
  pools @4 :List(PoolAssignment);
  members @5 :List(MemberRecord);
  generation @6 :Int64;
  highestTerm @7 :Int64;
}

struct DomainDigest {
  from @0 :Call.HostRef;
  # Null when absent.
  table @1 :DomainTable;
  hasTableBase @2 :Bool;
  tableBase @3 :Int64;
  removedPools @4 :List(Text);
  removedMembers @5 :List(Text);
  tableVersion @6 :Int64;
  generation @7 :Int64;
  news @8 :Int64;
  allMembers @9 :Bool;
  members @10 :List(MemberInfo);
  remoteTables @11 :List(DomainTable);
  quarantined @12 :List(Text);
  unconfirmed @13 :List(Text);
  leadHeard @14 :Bool;
  platformReachable @15 :Bool;
  leavingEndpoints @16 :List(Text);
  stayingEndpoints @17 :List(Text);
}

struct DomainStatus {
  domain @0 :Text;
  inForce @1 :Int64;
  behind @2 :List(Text);
}

struct ConfigRequest {
  from @0 :Call.HostRef;
  have @1 :Int64;
}

struct ConfigOffer {
  from @0 :Call.HostRef;
  generation @1 :Int64;
  hasBase @2 :Bool;
  base @3 :Int64;
  text @4 :Data;
  digest @5 :Text;
}
