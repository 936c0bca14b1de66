@0xc1a5f0a1d0e84b03;
# Every one-way message between hosts.

using Cxx = import "/capnp/c++.capnp";
using Turn = import "turn.capnp";
using Membership = import "membership.capnp";
$Cxx.namespace("dotterelshed::wire");

struct PeerMessage {
  union {
    reserveRequest @0 :Turn.ReserveRequest;
    reserveReply @1 :Turn.ChangeReply;
    appendRequest @2 :Turn.AppendRequest;
    appendReply @3 :Turn.ChangeReply;
    stateCopy @4 :Turn.StateCopy;
    stateCopyReply @5 :Turn.StateCopyReply;
    collectRequest @6 :Turn.CollectRequest;
    collectReply @7 :Turn.CollectReply;
    heartbeat @8 :Membership.Heartbeat;
    domainDigest @9 :Membership.DomainDigest;
    configRequest @10 :Membership.ConfigRequest;
    configOffer @11 :Membership.ConfigOffer;
  }
}
