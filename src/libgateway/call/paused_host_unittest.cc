#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "test_calls.h"

/// @file
/// Answers that have arrived while the host's process was stopped.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

/// Keeps the event loop so busy that a tick is due whenever bytes have arrived.
class BusyLoop {
 public:
  explicit BusyLoop(EventLoop& loop) : m_loop(loop) { Post(); }
  ~BusyLoop() { *m_stopped = true; }
  BusyLoop(const BusyLoop&) = delete;
  auto operator=(const BusyLoop&) -> BusyLoop& = delete;

 private:
  auto Post() -> void {
    boost::asio::post(m_loop, [this, stopped = m_stopped] {
      if (!*stopped) {
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        Post();
      }
    });
  }

  EventLoop& m_loop;
  std::shared_ptr<bool> m_stopped = std::make_shared<bool>(false);
};

TEST_CASE("an answer that waits to be read isn't taken for silence") {
  TestEnvironment environment;
  int requests = 0;
  const auto script = [&requests](const Request& request) {
    ++requests;
    request.m_stream->Write(request.Complete(MakeEvent(1)));
    // Longer than a host waits for an answer before it asks again.
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  };
  environment.AddEndpoint(script);
  environment.AddEndpoint(script);
  environment.Start();
  const BusyLoop busy(environment.m_loop);
  const auto caller = environment.Call(kSafeCall);
  // In longer steps than elsewhere, so that the loop gets round in each.
  for (int i = 0; i < 20 && !caller->Body(); ++i) {
    environment.m_loop.run_for(std::chrono::milliseconds(500));
  }
  CHECK(caller->Status() == 200);
  CHECK(requests == 1);
}

}  // namespace
}  // namespace dotterelshed
