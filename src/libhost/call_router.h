#ifndef DOTTERELSHED_LIBHOST_CALL_ROUTER_H_
#define DOTTERELSHED_LIBHOST_CALL_ROUTER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>

#include "core_runner.h"
#include "dotterelshed/error.h"
#include "dotterelshed/peer_node.h"
#include "request_table.h"
#include "timer_queue.h"
#include "trace_recorder.h"

/// @file
/// Brings each call to the host that decides on it, and its answer back.

namespace dotterelshed::pvt {

/// A call that this host runs or has forwarded.
struct RoutedCall {
  CallRequest m_call;
  RequestEntryPtr m_entry;
  TimePoint m_arrived;
  /// True for a caller's call on this host, which may be routed again; false
  /// for one that another host forwarded here.
  bool m_entry_host = true;
  /// True once a forward ended without an answer after it was sent: from then
  /// on nobody may say that the call did not run.
  bool m_uncertain = false;
};
using RoutedCallPtr = std::shared_ptr<RoutedCall>;

/// Routes calls. A forward that fails is sent again under the same request
/// id, to whichever host owns the pool by then; the owner recognises a repeat.
class CallRouter {
 public:
  struct Services {
    CoreRunner& m_core;
    RequestTable& m_requests;
    TimerQueue& m_timers;
    TraceRecorder& m_trace;
  };

  explicit CallRouter(Services services) : m_services(services) {}

  /// Must be called before the first call.
  auto SetPeers(PeerNode* peers) -> void { m_peers = peers; }

  /// Runs a caller's call, or joins it if its request id is known. Errors:
  /// kConflict when the id was used for another body.
  auto Submit(const CallRequest& call) -> Result<RequestEntryPtr>;

  /// Finds the answer of an earlier request, here or at its home.
  auto Ask(const RequestId& request, const ProgramId& program)
      -> RequestEntryPtr;

  /// Ends a program at its home.
  auto EndProgram(const ProgramId& program) -> void;

  /// Runs or joins a call that another host forwarded.
  auto ServeCall(const CallRequest& call,
                 std::uint64_t offset,
                 const CallSink& sink) -> std::function<void()>;
  auto ServeAsk(const RequestId& request,
                const ProgramId& program,
                std::uint64_t offset,
                const CallSink& sink) -> std::function<void()>;

  /// Takes the core's FinishCall.
  auto FinishLocal(const CallAnswer& answer) -> void;

 private:
  auto Remember(const RoutedCallPtr& routed) -> void;
  auto Forget(const RequestId& request) -> RoutedCallPtr;
  auto RouteNow(const RoutedCallPtr& routed) -> void;
  auto Forward(const RoutedCallPtr& routed, const std::string& address) -> void;
  auto OnForwardDone(const RoutedCallPtr& routed,
                     const Result<CallAnswer>& answer) -> void;
  /// Routes again after a pause, or ends the call when patience or deadline
  /// are over.
  auto TryAgain(const RoutedCallPtr& routed, const CallAnswer& last) -> void;
  auto FinishRouted(const RoutedCallPtr& routed, CallAnswer answer) -> void;

  Services m_services;
  PeerNode* m_peers = nullptr;
  std::mutex m_mutex;
  std::map<RequestId, RoutedCallPtr> m_routed;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_CALL_ROUTER_H_
