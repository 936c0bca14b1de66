#include "command_line.h"

#include <catch2/catch.hpp>
#include <set>
#include <sstream>

#include "desk_store.h"

namespace dotterelshed::ctl {
namespace {

using Catch::Contains;

struct RunResult {
  ExitCode m_code;
  std::string m_out;
  std::string m_error;
};

auto Run(const std::vector<std::string>& arguments) -> RunResult {
  std::ostringstream out;
  std::ostringstream error;
  const auto code = RunCommandLine(arguments, {out, error});
  return {code, out.str(), error.str()};
}

const auto kExample = std::string(DOTTERELSHED_EXAMPLES_DIR) + "/lagos.jsonc";

TEST_CASE("a wrong command line is told what is wrong") {
  struct Case {
    std::vector<std::string> m_arguments;
    std::string m_words;
  };
  const std::vector<Case> cases{
      {{}, "no command"},
      {{"chekc"}, "unknown command 'chekc'"},
      {{"check"}, "check needs FILE"},
      {{"check", "a", "b"}, "unexpected word 'b'"},
      {{"check", "a", "--platform", "1"}, "check takes no --platform"},
      {{"apply", "a"}, "apply needs --platform"},
      {{"apply", "a", "--frob"}, "frob"},
      {{"apply", "a", "--base", "x"}, "base"},
      {{"reference", "moon"}, "unknown page 'moon'"},
  };
  for (const auto& test : cases) {
    const auto result = Run(test.m_arguments);
    CHECK(result.m_code == ExitCode::kUsage);
    CHECK_THAT(result.m_error, Contains(test.m_words));
  }
}

TEST_CASE("help names every command") {
  const auto result = Run({"--help"});
  CHECK(result.m_code == ExitCode::kOk);
  for (const auto& command : Commands()) {
    CHECK_THAT(result.m_out, Contains(std::string(command.m_name)));
  }
}

TEST_CASE("check tells good texts, bad texts and missing files apart") {
  CHECK(Run({"check", kExample}).m_code == ExitCode::kOk);
  CHECK(Run({"check", "/dev/null"}).m_code == ExitCode::kUnavailable);
  const auto bad = Run(
      {"check", std::string(DOTTERELSHED_EXAMPLES_DIR) + "/../CMakeLists.txt",
       "--json"});
  CHECK(bad.m_code == ExitCode::kProblems);
  CHECK_THAT(bad.m_out, Contains("\"line\":1"));
}

TEST_CASE("a platform that can't be reached has its own exit code") {
  const auto result =
      Run({"apply", kExample, "--platform", "127.0.0.1:1", "--wait", "0"});
  CHECK(result.m_code == ExitCode::kUnavailable);
  CHECK_THAT(result.m_error, Contains("safe to run the same command again") ||
                                 Contains("no answer"));
}

TEST_CASE("domains that are behind or silent are named") {
  const std::set<DomainId> wanted{DomainId("a"), DomainId("b"), DomainId("c")};
  const std::vector<DomainStatus> statuses{
      {.m_domain = DomainId("a"), .m_in_force = Generation(3)},
      {.m_domain = DomainId("b"),
       .m_in_force = Generation(2),
       .m_behind = {HostId("b1")}}};
  const auto lagging = FindLagging(wanted, statuses, Generation(3));
  REQUIRE(lagging.size() == 2);
  CHECK(Describe(lagging[0]) == "b: generation 2 in force; behind: b1");
  CHECK_THAT(Describe(lagging[1]), Contains("c: has never reported"));
}

}  // namespace
}  // namespace dotterelshed::ctl
