#ifndef DOTTERELSHED_LIBCORE_CORE_TEST_HARNESS_H_
#define DOTTERELSHED_LIBCORE_CORE_TEST_HARNESS_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core_state.h"

/// @file
/// A few cores driven by hand: every message, attempt and platform call waits
/// until the test lets it happen. For tests.

namespace dotterelshed::core_test {

/// A peer message under way.
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
  /// All hosts learn of new owners; holder -1 for none.
  auto ReassignPool(int primary, int holder) -> void;
  /// Delivers until nothing is under way.
  auto DeliverAll() -> void;
  /// Throws away what is under way and of type Message; returns how many.
  template <typename Message>
  auto Drop() -> int {
    const auto before = m_peer_messages.size();
    std::erase_if(m_peer_messages, [](const PeerEnvelope& mail) {
      return std::holds_alternative<Message>(mail.m_message);
    });
    return static_cast<int>(before - m_peer_messages.size());
  }
  /// Number of messages of type Message under way to @p host.
  template <typename Message>
  auto Count(int host) const -> int {
    auto count = 0;
    for (const auto& mail : m_peer_messages) {
      count +=
          mail.m_to == host && std::holds_alternative<Message>(mail.m_message);
    }
    return count;
  }
  /// Moves the time and ticks every host.
  auto Advance(Duration duration) -> void;

  /// The next call of program d.1 to the model service.
  auto MakeCall(const std::string& request, int turn) const -> CallRequest;
  /// Ends the last started attempt.
  auto FinishLastAttempt(int host, AttemptEnd end, const std::string& body)
      -> void;
  /// Runs one call to its end at @p host and keeps its token.
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
