#ifndef DOTTERELSHED_BENCH_CAPACITY_DESK_H_
#define DOTTERELSHED_BENCH_CAPACITY_DESK_H_

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/core.h"
#include "dotterelshed/desk_config.h"

/// @file
/// The decision cores of one failure domain in one process and in virtual
/// time. Messages arrive at once, the platform always answers, and endpoints
/// finish each attempt at once. It measures what the cores and the encoding of
/// their messages cost, not how they act under failures.

namespace dotterelshed::bench {

/// What one host has spent since the last reset.
struct HostCost {
  std::chrono::nanoseconds m_step_time{0};
  std::int64_t m_steps = 0;
  std::int64_t m_messages_sent = 0;
  std::int64_t m_bytes_sent = 0;
  std::int64_t m_bytes_received = 0;
  std::int64_t m_table_reads = 0;
  std::int64_t m_table_writes = 0;
};

struct DeskOptions {
  int m_hosts = 3;
  /// Endpoints of the one model service.
  int m_endpoints = 64;
  int m_answer_bytes = 1024;
  int m_max_programs = 1000000;
};

/// One host of the desk.
struct DeskHost {
  HostRef m_ref;
  std::shared_ptr<HostCore> m_core;
  HostCost m_cost;
  bool m_lead = false;
};

struct QueuedEvent {
  std::size_t m_host = 0;
  Event m_event;
  std::int64_t m_bytes = 0;
};

struct Desk {
  DeskOptions m_options;
  std::vector<DeskHost> m_hosts;
  DomainTable m_table;
  std::deque<QueuedEvent> m_queue;
  TimePoint m_now{std::chrono::hours(1)};
  /// By request; taken out by the caller.
  std::map<RequestId, CallAnswer> m_answers;
};

/// The text that the desk runs, with a model service of @p endpoints.
auto MakeDeskText(int endpoints) -> std::string;

/// Starts the hosts and lets time pass until every pool has its two owners.
/// Stops the process if that does not happen.
auto StartDesk(const DeskOptions& options) -> Desk;

/// Takes every waiting event, and those that follow from them.
auto Settle(Desk& desk) -> void;

/// Lets @p duration pass in ticks of @p tick.
auto Pass(Desk& desk, Duration duration, Duration tick) -> void;

/// A call of @p program at its home; 0 as turn lets the home choose.
auto MakeCall(const ProgramId& program,
              const std::string& request,
              const std::optional<ContinuationToken>& token) -> CallRequest;

/// Sends a call to its home and returns the answer.
auto RunCall(Desk& desk, const CallRequest& call) -> CallAnswer;

/// Position of the primary of the first pool, and of its copy holder.
auto PrimaryOf(const Desk& desk) -> std::size_t;
auto HolderOf(const Desk& desk) -> std::size_t;
auto LeadOf(const Desk& desk) -> std::size_t;

auto ResetCosts(Desk& desk) -> void;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_CAPACITY_DESK_H_
