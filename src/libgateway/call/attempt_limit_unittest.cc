#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "test_calls.h"

/// @file
/// The limit of endpoints that may run a request, with endpoints that lose the
/// answer and refuse the request when they are asked again.

namespace dotterelshed {
namespace {

using Request = ScriptedEndpoint::Request;

auto Refuse(const Request& request) -> void {
  request.m_stream->Write(
      request.Head(503, "Not-Executed: 1\r\nContent-Length: 0\r\n"));
}

/// Endpoints of which the one that gets the request first runs it and loses
/// the answer; asked again, it is full.
class LossyEnvironment : public TestEnvironment {
 public:
  /// @param ends  the endpoint that loses the answer ends with it.
  explicit LossyEnvironment(int events, bool ends = false) {
    for (int i = 0; i < 3; ++i) {
      AddEndpoint([this, i, events, ends](const Request& request) {
        if (m_first < 0) {
          m_first = i;
          if (events > 0) {
            request.m_stream->Write(ChunkedHead(request) + Chunks(1, events));
          }
          if (ends) {
            m_endpoints[static_cast<std::size_t>(i)]->Crash();
          } else {
            request.m_stream->CloseAfterWrites();
          }
        } else if (i == m_first) {
          Refuse(request);
        } else {
          ++m_runs_elsewhere;
          request.m_stream->Write(ChunkedHead(request) + Chunks(3, 4) +
                                  std::string(kLastChunk));
        }
      });
    }
  }

  int m_first = -1;
  int m_runs_elsewhere = 0;
};

TEST_CASE("a send that may have run counts though a later one is refused") {
  // The routes permit one endpoint.
  const auto events = GENERATE(0, 2);
  LossyEnvironment environment(events);
  environment.Start();
  const auto call = events > 0 ? MakeTurn("r1", 400, 100)
                               : GENERATE(MakeTurn("r1", 400, 100), kSafeCall);
  const auto caller = environment.Finish(call);
  CHECK(environment.m_endpoints[static_cast<std::size_t>(environment.m_first)]
            ->requests() >= 2);
  CHECK(environment.m_runs_elsewhere == 0);
  CHECK((events > 0 ? caller->m_ended : caller->Status() == 502));
}

TEST_CASE("an endpoint that ended doesn't count against the limit") {
  LossyEnvironment environment(2, true);
  environment.Start();
  const auto caller = environment.Finish(MakeTurn("r1", 400, 100));
  CHECK(caller->Body() ==
        MakeEvent(1) + MakeEvent(2) + MakeEvent(3) + MakeEvent(4));
  CHECK(environment.m_runs_elsewhere == 1);
}

TEST_CASE("a request that was refused everywhere may go to any endpoint") {
  TestEnvironment environment;
  int asked = 0;
  for (int i = 0; i < 3; ++i) {
    environment.AddEndpoint([&asked](const Request& request) {
      if (++asked < 3) {
        Refuse(request);
      } else {
        request.m_stream->Write(request.Complete("ok"));
      }
    });
  }
  environment.Start();
  CHECK(environment.Finish(kSafeCall)->Body() == "ok");
}

}  // namespace
}  // namespace dotterelshed
