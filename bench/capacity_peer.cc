// Processor time of one message between two hosts over real connections on
// loopback, sender and receiver together, and of a message's encoding.
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include "capacity_report.h"
#include "dotterelshed/error.h"
#include "dotterelshed/peer_node.h"

namespace dotterelshed::bench {
namespace {

constexpr auto kMessages = 20000;
/// Messages sent before the sender waits for them to arrive.
constexpr auto kBatch = 50;

auto StartNode(std::atomic<int>& received) -> std::unique_ptr<PeerNode> {
  PeerHandlers handlers;
  handlers.m_on_message = [&received](const std::string&) { ++received; };
  auto node =
      PeerNode::Start({.m_address = "127.0.0.1:0"}, std::move(handlers));
  DOTTERELSHED_CHECK(node);
  return std::move(*node);
}

auto Measure(std::size_t bytes, int batch) -> std::vector<std::string> {
  std::atomic<int> received{0};
  const auto receiver = StartNode(received);
  const auto sender = StartNode(received);
  const std::string message(bytes, 'x');
  const auto begin = ProcessorTime();
  for (auto sent = 0; sent < kMessages; sent += batch) {
    for (auto i = 0; i < batch; ++i) {
      sender->SendMessage(receiver->address(), message);
    }
    while (received < sent + batch) {
      std::this_thread::yield();
    }
  }
  const auto spent = ToSeconds(ProcessorTime() - begin);
  return {std::to_string(bytes), std::to_string(batch),
          Fixed(spent * 1e6 / kMessages, 1)};
}

auto Run() -> void {
  std::vector<std::vector<std::string>> rows;
  for (const auto bytes : {100U, 1000U, 10000U}) {
    rows.push_back(Measure(bytes, kBatch));
  }
  rows.push_back(Measure(100, 1));
  PrintMarkdown("One message between two hosts, both ends together",
                {"bytes", "sent together", "us/message"}, rows);
}

}  // namespace
}  // namespace dotterelshed::bench

auto main() -> int {
  dotterelshed::bench::Run();
  return 0;
}
