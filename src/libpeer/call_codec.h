#ifndef DOTTERELSHED_LIBPEER_CALL_CODEC_H_
#define DOTTERELSHED_LIBPEER_CALL_CODEC_H_

#include "call.capnp.h"
#include "dotterelshed/call.h"

/// @file
/// Calls and answers to and from Cap'n Proto. Deadlines travel as time left.

namespace dotterelshed {

auto WriteCall(const CallRequest& call,
               TimePoint now,
               wire::CallRequest::Builder out) -> void;

/// @return the call, with its deadline on the reader's clock.
auto ReadCall(wire::CallRequest::Reader in, TimePoint now) -> CallRequest;

auto WriteAnswer(const CallAnswer& answer, wire::CallAnswer::Builder out)
    -> void;
auto ReadAnswer(wire::CallAnswer::Reader in) -> CallAnswer;

auto WriteUsage(const Usage& usage, wire::Usage::Builder out) -> void;
auto ReadUsage(wire::Usage::Reader in) -> Usage;

auto WriteHostRef(const HostRef& host, wire::HostRef::Builder out) -> void;
auto ReadHostRef(wire::HostRef::Reader in) -> HostRef;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBPEER_CALL_CODEC_H_
