#ifndef DOTTERELSHED_LIBPEER_PEER_SERVER_H_
#define DOTTERELSHED_LIBPEER_PEER_SERVER_H_

#include <kj/timer.h>

#include "dotterelshed/peer_node.h"
#include "dotterelshed/steady_time.h"
#include "host_rpc.capnp.h"
#include "loop_tasks.h"

/// @file
/// The side of PeerNode that answers other hosts.

namespace dotterelshed::pvt {

/// What a served call needs of the loop that it runs on.
struct ServerLoop {
  LoopTasks& m_tasks;
  kj::Timer& m_timer;
  Duration m_progress_interval;
};

/// Makes the capability that other hosts get when they connect.
/// @param loop and @param handlers must outlive every connection.
auto MakePeerServer(ServerLoop loop, const PeerHandlers& handlers)
    -> wire::Host::Client;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBPEER_PEER_SERVER_H_
