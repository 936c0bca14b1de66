#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "history/test_losses.h"

/// @file
/// Randomized: turns are run while disk hosts are stopped, killed, wiped,
/// retired and replaced in a row, never more at once than may be lost, and
/// while the entry hosts that lead a domain are stopped and killed. Each turn
/// that was answered whole with 200 can be continued afterwards.
///
/// DOTTERELSHED_WALKS sets the number of seeds of the long walks,
/// DOTTERELSHED_SEED the first.

namespace dotterelshed {
namespace {

/// Turns that are run at hosts which are lost, and continued afterwards.
struct LossWalk : public HostLosses {
  explicit LossWalk(unsigned int seed) : HostLosses(seed) {
    AddEndpoint([this](const Request& request) {
      m_prompts[request.Field("request-id")] = request.m_body;
      request.m_stream->Write(request.Complete(kEvents));
    });
    StartHosts();
  }

  auto SendTurn(const Process& process, const SentTurn& after)
      -> std::optional<SentTurn> {
    TcpSocket socket(m_loop);
    boost::system::error_code error;
    socket.connect(process.m_entry->caller_address(), error);
    if (error) {
      return std::nullopt;
    }
    SentTurn turn{.m_id = "t" + std::to_string(++m_last_turn),
                  .m_program = after.m_program,
                  .m_host = process.m_settings.m_host,
                  .m_caller = std::make_shared<TestCaller>()};
    const auto input = "<" + turn.m_id + ">";
    turn.m_prompt =
        after.m_id.empty() ? input : after.m_prompt + "one\ntwo\n" + input;
    auto& caller = turn.m_caller;
    caller->m_stream = std::make_shared<ByteStream>(std::move(socket));
    caller->m_stream->Start(
        {.m_on_bytes =
             [caller](std::string_view bytes) { caller->m_got += bytes; },
         .m_on_end = [caller](StreamEnd /*end*/) { caller->m_ended = true; },
         .m_on_drained = {}});
    m_callers.push_back(caller);
    const auto field =
        after.m_id.empty() ? "" : "Previous-Turn: " + after.m_id + "\r\n";
    caller->m_stream->Write(
        "POST /kept/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + turn.m_id +
        "\r\nProgram-Id: " + turn.m_program +
        "\r\nToken-Budget: 1000000\r\nToken-Counts: 9,30\r\n" + field +
        "Content-Length: " + std::to_string(input.size()) + "\r\n\r\n" + input);
    return turn;
  }

  /// Sends a turn to an entry host that runs; it begins a program or continues
  /// a turn that was accepted.
  auto SendAnyTurn() -> void {
    const auto& process = *Draw(m_entries);
    if (!process.running()) {
      return;
    }
    SentTurn after{.m_program = "p" + std::to_string(m_last_turn)};
    if (!m_accepted.empty() && !Chance(4)) {
      after = Draw(m_accepted);
    }
    const auto sent = SendTurn(process, after);
    if (sent) {
      m_open.push_back(*sent);
    }
  }

  auto CheckAnswer(const SentTurn& turn) -> void {
    INFO(m_notes << turn.m_id << ":\n" << turn.m_caller->m_got);
    const auto status = turn.m_caller->Status();
    CHECK(status != 404);
    if (status == 200) {
      CHECK(m_prompts[turn.m_id] == turn.m_prompt);
    }
  }

  auto CollectAnswers() -> void {
    for (const auto& turn : m_open) {
      if (!IsOver(turn)) {
        continue;
      }
      CheckAnswer(turn);
      if (turn.m_caller->Status() == 200 && turn.m_caller->Body()) {
        m_accepted.push_back(turn);
      }
    }
    std::erase_if(m_open, IsOver);
  }

  auto Walk(Duration time) -> void {
    const auto end = SteadyTime() + time;
    while (SteadyTime() < end) {
      for (int turns = 0; turns < 2; ++turns) {
        SendAnyTurn();
      }
      Act();
      WaitFor(DrawMs(m_random, 5, 150));
      CollectAnswers();
    }
  }

  /// Loses as many disks as may still be lost, and all memory.
  auto LoseMost() -> void {
    m_notes += Ms() + " final losses\n";
    LoseDisks(true);
    for (const auto& process : m_entries) {
      if (process->running()) {
        End(*process);
      }
    }
    WaitUntil([this] { return AllReady(); });
    WaitUntil(
        [this] { return std::all_of(m_open.begin(), m_open.end(), IsOver); });
    CollectAnswers();
  }

  /// Continues a turn, and tries again for a while if it is refused.
  auto Continue(const SentTurn& after) -> void {
    INFO("turn " << after.m_id << " of program " << after.m_program);
    auto answered = 0;
    WaitUntil([&] {
      const auto& process = *Draw(m_entries);
      const auto sent =
          process.running() ? SendTurn(process, after) : std::nullopt;
      if (!sent) {
        return false;
      }
      WaitUntil([&sent] { return IsOver(*sent); });
      CheckAnswer(*sent);
      answered = sent->m_caller->Status();
      return answered == 200 || answered == 404;
    });
    INFO(m_notes);
    CHECK(answered == 200);
  }

  int m_last_turn = 0;
  /// Prompts that the endpoint got, by request.
  std::map<std::string, std::string> m_prompts;
};

auto RunWalk(unsigned int seed, Duration time) -> void {
  CAPTURE(seed);
  LossWalk walk(seed);
  walk.Walk(time);
  walk.LoseMost();
  REQUIRE_FALSE(walk.m_accepted.empty());
  for (const auto& turn : walk.m_accepted) {
    walk.Continue(turn);
  }
}

auto NumberFromEnvironment(const char* name, unsigned long otherwise)
    -> unsigned long {
  const auto* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoul(text, nullptr, 10);
}

TEST_CASE("accepted turns are found after disk hosts were lost in a row") {
  RunWalk(1, std::chrono::seconds(1));
}

// Takes about twenty seconds a seed.
TEST_CASE("accepted turns are found after long rows of lost disk hosts",
          "[.]") {
  const auto first = NumberFromEnvironment("DOTTERELSHED_SEED", 1);
  const auto walks = NumberFromEnvironment("DOTTERELSHED_WALKS", 1);
  for (auto seed = first; seed < first + walks; ++seed) {
    RunWalk(static_cast<unsigned int>(seed), std::chrono::seconds(15));
  }
}

}  // namespace
}  // namespace dotterelshed
