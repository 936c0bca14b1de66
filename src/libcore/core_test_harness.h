#ifndef DOTTERELSHED_LIBCORE_CORE_TEST_HARNESS_H_
#define DOTTERELSHED_LIBCORE_CORE_TEST_HARNESS_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core_state.h"

/// @file
/// Test harness for several cores. Messages, attempts and platform calls are
/// collected, and take place only when the test triggers them.

namespace dotterelshed::core_test {

/// A peer message that has not been delivered.
struct PeerEnvelope {
  int m_from = 0;
  int m_to = 0;
  PeerMessage m_message;
};

struct CoreTestHarnessOptions {
  int m_hosts = 2;
  Cost m_budget{1000};
  CoreOptions m_core;
};

class CoreTestHarness {
 public:
  /// Host 0 is primary and host 1, if there is one, copy holder of the only
  /// pool at term 1.
  explicit CoreTestHarness(const CoreTestHarnessOptions& options = {});

  auto HandleEvent(int host, const Event& event) -> void;
  /// Sends all hosts a table with new owners; @p holder is -1 for none.
  auto ReassignPool(int primary, int holder) -> void;
  /// Delivers peer messages until none is pending.
  auto DeliverAll() -> void;
  /// Drops pending messages of type Message and returns their number.
  template <typename Message>
  auto Drop() -> int {
    const auto before = m_peer_messages.size();
    std::erase_if(m_peer_messages, [](const PeerEnvelope& mail) {
      return std::holds_alternative<Message>(mail.m_message);
    });
    return static_cast<int>(before - m_peer_messages.size());
  }
  /// Number of pending messages of type Message to @p host.
  template <typename Message>
  auto Count(int host) const -> int {
    auto count = 0;
    for (const auto& mail : m_peer_messages) {
      count +=
          mail.m_to == host && std::holds_alternative<Message>(mail.m_message);
    }
    return count;
  }
  /// Advances the clock and sends every host a tick.
  auto Advance(Duration duration) -> void;

  /// Makes a call of program d.1 to the model service.
  auto MakeCall(const std::string& request, int turn) const -> CallRequest;
  /// Ends the attempt that was started last.
  auto FinishLastAttempt(int host, AttemptEnd end, const std::string& body)
      -> void;
  /// Runs one call to completion at @p host and keeps its token.
  auto RunTurn(int host, int turn) -> CallAnswer;

  auto pool(int host) -> pvt::PoolState&;
  auto ref(int host) const -> HostRef;

  std::vector<std::shared_ptr<HostCore>> m_cores;
  std::deque<PeerEnvelope> m_peer_messages;
  std::vector<CallAnswer> m_answers;
  std::vector<StartAttempt> m_starts;
  std::vector<ReleaseHold> m_releases;
  /// All other effects.
  Effects m_other_effects;
  std::optional<ContinuationToken> m_token;
  TimePoint m_now{std::chrono::seconds(10)};
  DomainTable m_table;
};

}  // namespace dotterelshed::core_test

#endif  // DOTTERELSHED_LIBCORE_CORE_TEST_HARNESS_H_
