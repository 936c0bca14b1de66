#ifndef DOTTERELSHED_EVENT_LOOP_H_
#define DOTTERELSHED_EVENT_LOOP_H_

#include <functional>
#include <string_view>

#include "dotterelshed/byte_stream.h"

/// @file
/// Runs the event loop so that no exception of a library ends the process.
/// Libraries are called where their errors become values; what is thrown
/// nevertheless is caught in three places: while a connection's bytes are
/// handled, which ends that connection; in each part of a tick, which the
/// others follow; and around the loop, for all other handlers.

namespace dotterelshed {

/// Runs @p work. What it throws is logged with @p place. Returns
/// false if it threw.
auto RunGuarded(std::string_view place, const std::function<void()>& work)
    -> bool;

/// Runs @p loop until it is stopped or has no work left.
auto RunEventLoop(EventLoop& loop) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_EVENT_LOOP_H_
