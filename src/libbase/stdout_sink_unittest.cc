#include "stdout_sink.h"

#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <memory>

namespace dotterelshed {
namespace {

TEST_CASE("a reader of the log that stops costs lines, never time") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const auto sink = std::make_shared<pvt::StdoutSink>(ends[1]);
  spdlog::logger logger("test", sink);
  const std::string line(1000, 'x');
  // Far more than pipe and buffer hold: a write that waits would never return.
  for (int i = 0; i < 1000; ++i) {
    logger.info("{}", line);
  }
  logger.flush();
  CHECK(sink->TakeDropped() > 0);
  CHECK(sink->TakeDropped() == 0);

  std::string got(200000, ' ');
  CHECK(read(ends[0], got.data(), got.size()) > 0);
  logger.flush();
  logger.info("again");
  CHECK(sink->TakeDropped() == 0);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace dotterelshed
