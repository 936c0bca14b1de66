#ifndef DOTTERELSHED_ENDPOINT_JUDGEMENT_H_
#define DOTTERELSHED_ENDPOINT_JUDGEMENT_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "dotterelshed/endpoint_directory.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Judges endpoints by the outcomes of requests that several hosts sent them:
/// takes failing ones out of use, probes them and lets them return in steps.
/// The lead of a failure domain judges for its hosts; each host judges by its
/// own outcomes as well. See docs/design/uneven-endpoints.md.

namespace dotterelshed {

/// How an attempt at an endpoint ended, as evidence of the endpoint's state. A
/// refusal for lack of room is no evidence.
enum class EndpointOutcome {
  kServed,
  kUnreachable,  ///< No connection.
  kLost,         ///< The connection ended before an answer.
  kFailed,       ///< An error while executing the request.
  kSilent,       ///< No answer or no further event in time.
  kGarbled,      ///< Bytes that are no answer.
};
constexpr std::size_t kEndpointOutcomeCount = 6;

/// Stable lower-case name, on the wire and in logs.
auto ToString(EndpointOutcome outcome) -> std::string_view;

/// Number of outcomes by kind, indexed by EndpointOutcome.
using OutcomeCounts = std::array<std::uint32_t, kEndpointOutcomeCount>;

auto CountOf(const OutcomeCounts& counts, EndpointOutcome outcome)
    -> std::uint32_t;
/// Number of outcomes other than kServed.
auto FailuresIn(const OutcomeCounts& counts) -> std::uint32_t;

/// Outcomes of one host since its last report.
using OutcomeReport = std::map<EndpointId, OutcomeCounts>;

/// Adds an outcome. A report is bounded: returns false if the endpoint is not
/// in it and it is full.
auto AddOutcome(OutcomeReport& report,
                const EndpointId& endpoint,
                EndpointOutcome outcome) -> bool;

enum class JudgementState {
  kInUse,
  kOut,        ///< Gets no requests.
  kProbing,    ///< Gets one request at a time.
  kReturning,  ///< Gets a part of the requests that it would get.
};

/// Stable lower-case name, for logs.
auto ToString(JudgementState state) -> std::string_view;

struct JudgementOptions {
  /// Outcomes count for one to two windows.
  Duration m_window = std::chrono::seconds(2);
  /// Failures from which an endpoint that mostly fails is out.
  std::uint32_t m_min_failures = 3;
  double m_failing_share = 0.5;
  /// Failures and their share from which an endpoint that often fails is out,
  /// if its share is also the given multiple of the rest of its service.
  std::uint32_t m_min_partial_failures = 10;
  double m_partial_share = 0.2;
  double m_partial_multiple = 4;
  /// Share of a service's reachable endpoints that may be out.
  double m_max_out_share = 0.3;
  /// Share of a service that stays in use even if all others are unreachable.
  double m_min_in_use_share = 0.25;
  Duration m_first_probe = std::chrono::seconds(1);
  int m_max_doublings = 4;
  /// A probe without an outcome is repeated after this time.
  Duration m_probe_timeout = std::chrono::seconds(3);
  /// Minimum time and served requests in each step of the return.
  Duration m_step_time = std::chrono::seconds(1);
  std::uint32_t m_step_served = 5;
  /// An endpoint in use for this time starts again with m_first_probe.
  Duration m_forget_after = std::chrono::seconds(60);
};

/// Outcomes of the current and the previous window.
struct OutcomeWindow {
  OutcomeCounts m_previous{};
  OutcomeCounts m_current{};
};

struct JudgedEndpoint {
  std::map<HostId, OutcomeWindow> m_by_host;
  JudgementState m_state = JudgementState::kInUse;
  TimePoint m_state_since;
  /// Most of the failures that put it out were kUnreachable.
  bool m_unreachable = false;
  /// Looks bad but stays in use, since too many others are out.
  bool m_spared = false;
  TimePoint m_probe_at;
  /// A probe was given out and its outcome is not known.
  bool m_probe_pending = false;
  int m_times_out = 0;
  /// Step of the return, from zero, and what was served in it.
  int m_step = 0;
  std::uint32_t m_step_served = 0;
};

struct EndpointJudgement {
  JudgementOptions m_options;
  std::map<EndpointId, JudgedEndpoint> m_endpoints;
  TimePoint m_window_started;
};

/// An endpoint's change of state, for the log.
struct JudgementChange {
  EndpointId m_endpoint;
  JudgementState m_from = JudgementState::kInUse;
  JudgementState m_to = JudgementState::kInUse;
  /// Outcomes in the window, over all hosts, and the hosts that saw failures.
  OutcomeCounts m_outcomes{};
  int m_hosts = 0;
  /// Stays in use although it looks bad.
  bool m_spared = false;
};

/// Records the outcomes that @p host reports. Endpoints that aren't in
/// @p directory are ignored. Returns the changes of state.
auto TakeReport(EndpointJudgement& judgement,
                const EndpointDirectory& directory,
                const HostId& host,
                const OutcomeReport& report,
                TimePoint now) -> std::vector<JudgementChange>;

/// Advances windows, probes and returns; forgets endpoints that are gone. Call
/// several times per second.
auto AdvanceJudgement(EndpointJudgement& judgement,
                      const EndpointDirectory& directory,
                      TimePoint now) -> std::vector<JudgementChange>;

/// The endpoint restarted or was replaced: what was seen of it no longer holds.
auto ForgetOutcomes(EndpointJudgement& judgement, const EndpointId& endpoint)
    -> void;

/// Share of its usual requests that an endpoint gets; those that aren't listed
/// get all. Zero for those out of use or being probed.
using EndpointShares = std::map<EndpointId, double>;

/// Returns the shares of all endpoints that get less than all requests. A
/// service most of whose reachable endpoints look bad has only unreachable
/// ones.
auto SharesOf(const EndpointJudgement& judgement,
              const EndpointDirectory& directory) -> EndpointShares;

/// Returns an endpoint of the service whose probe is due, and counts the probe
/// as given out. Nothing if none is due.
auto TakeProbe(EndpointJudgement& judgement,
               const EndpointDirectory& directory,
               const ServiceId& service,
               TimePoint now) -> std::optional<EndpointId>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_JUDGEMENT_H_
