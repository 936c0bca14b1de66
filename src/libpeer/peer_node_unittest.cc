#include "dotterelshed/peer_node.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>
#include <optional>

namespace dotterelshed {
namespace {

auto NoDetach() -> std::function<void()> {
  return [] {};
}

auto QuietHandlers() -> PeerHandlers {
  return {.m_on_message = [](const std::string&) {},
          .m_on_call = [](const CallRequest&, std::uint64_t,
                          const CallSink&) { return NoDetach(); },
          .m_on_ask = [](const RequestId&, const ProgramId&, std::uint64_t,
                         const CallSink&) { return NoDetach(); },
          .m_on_end_program = [](const ProgramId&) {}};
}

auto StartNode(PeerHandlers handlers) -> std::unique_ptr<PeerNode> {
  auto node =
      PeerNode::Start({.m_address = "127.0.0.1:0",
                       .m_silence_limit = std::chrono::milliseconds(200),
                       .m_progress_interval = std::chrono::milliseconds(20)},
                      std::move(handlers));
  REQUIRE(node);
  return std::move(*node);
}

/// A socket that accepts connections into its backlog and never answers.
class MuteListener {
 public:
  MuteListener() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto size = static_cast<socklen_t>(sizeof(target));
    auto* generic = reinterpret_cast<sockaddr*>(&target);
    REQUIRE(bind(m_socket, generic, size) == 0);
    REQUIRE(listen(m_socket, 4) == 0);
    REQUIRE(getsockname(m_socket, generic, &size) == 0);
    m_address = "127.0.0.1:" + std::to_string(ntohs(target.sin_port));
  }
  MuteListener(const MuteListener&) = delete;
  auto operator=(const MuteListener&) -> MuteListener& = delete;
  ~MuteListener() { close(m_socket); }
  auto address() const -> const std::string& { return m_address; }

 private:
  int m_socket;
  std::string m_address;
};

struct ForwardLog {
  std::string m_text;
  std::promise<Result<CallAnswer>> m_answer;
};

auto Forward(PeerNode& from, const std::string& address, ForwardLog& log)
    -> Result<CallAnswer> {
  from.ForwardCall(
      address, {.m_request = RequestId("r1")}, 0,
      [&log](std::string_view text, Tokens) { log.m_text += text; },
      [&log](const Result<CallAnswer>& answer) {
        log.m_answer.set_value(answer);
      });
  return log.m_answer.get_future().get();
}

TEST_CASE("messages reach the other node") {
  std::promise<std::string> arrived;
  auto handlers = QuietHandlers();
  handlers.m_on_message = [&arrived](const std::string& message) {
    arrived.set_value(message);
  };
  const auto receiver = StartNode(std::move(handlers));
  const auto sender = StartNode(QuietHandlers());
  sender->SendMessage(receiver->address(), "hello");
  CHECK(arrived.get_future().get() == "hello");
}

TEST_CASE("a forwarded call gets its text and then its answer") {
  auto handlers = QuietHandlers();
  handlers.m_on_call = [](const CallRequest& call, std::uint64_t,
                          const CallSink& sink) {
    sink.m_on_text("one ", Tokens(1));
    sink.m_on_text("two", Tokens(2));
    sink.m_on_answer(
        {.m_request = call.m_request, .m_outcome = OutcomeKind::kDone});
    return NoDetach();
  };
  const auto home = StartNode(std::move(handlers));
  const auto entry = StartNode(QuietHandlers());
  ForwardLog log;
  const auto answer = Forward(*entry, home->address(), log);
  REQUIRE(answer);
  CHECK(answer->m_request == RequestId("r1"));
  CHECK(answer->m_outcome == OutcomeKind::kDone);
  CHECK(log.m_text == "one two");
}

TEST_CASE("a call that was never sent fails as unavailable") {
  std::optional<MuteListener> gone(std::in_place);
  const auto address = gone->address();
  gone.reset();
  const auto entry = StartNode(QuietHandlers());
  ForwardLog log;
  const auto answer = Forward(*entry, address, log);
  REQUIRE_FALSE(answer);
  CHECK(answer.error().m_code == ErrorCode::kUnavailable);
}

TEST_CASE("a silent connection fails the call as uncertain") {
  const MuteListener mute;
  const auto entry = StartNode(QuietHandlers());
  ForwardLog log;
  const auto answer = Forward(*entry, mute.address(), log);
  REQUIRE_FALSE(answer);
  CHECK(answer.error().m_code == ErrorCode::kTimeout);
  CHECK(entry->Counts().m_connections_lost == 1);
}

TEST_CASE("a long call without text is kept alive by shown progress") {
  std::promise<CallSink> running;
  auto handlers = QuietHandlers();
  handlers.m_on_call = [&running](const CallRequest&, std::uint64_t,
                                  const CallSink& sink) {
    running.set_value(sink);
    return NoDetach();
  };
  const auto home = StartNode(std::move(handlers));
  const auto mute = MuteListener();
  const auto entry = StartNode(QuietHandlers());
  ForwardLog log;
  auto pending = std::async(std::launch::async, [&] {
    return Forward(*entry, home->address(), log);
  });
  const auto sink = running.get_future().get();
  ForwardLog silent;
  CHECK_FALSE(Forward(*entry, mute.address(), silent));
  sink.m_on_answer({.m_outcome = OutcomeKind::kDone});
  CHECK(pending.get());
}

}  // namespace
}  // namespace dotterelshed
