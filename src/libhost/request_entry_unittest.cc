#include "request_entry.h"

#include <catch2/catch.hpp>

#include "request_table.h"

namespace dotterelshed::pvt {
namespace {

constexpr auto kNoWait = Duration(0);
const AttemptId kFirst("a1");
const AttemptId kSecond("a2");

TEST_CASE("text of a second attempt continues where the first one stopped") {
  RequestEntry entry{Digest("d")};
  entry.AddAttemptText(kFirst, "one two");
  entry.AddAttemptText(kSecond, "one ");
  entry.AddAttemptText(kSecond, "two three");
  CHECK(entry.Read(0, kNoWait).m_text == "one two three");
  CHECK(entry.Read(4, kNoWait).m_text == "two three");
}

TEST_CASE("text that differs from what was published is not mixed in") {
  RequestEntry entry{Digest("d")};
  entry.AddAttemptText(kFirst, "one two");
  entry.AddAttemptText(kSecond, "one TWO three");
  CHECK(entry.Read(0, kNoWait).m_text == "one two");
  entry.Finish({.m_outcome = OutcomeKind::kDone}, "one TWO three");
  const auto piece = entry.Read(0, kNoWait);
  CHECK(piece.m_diverged);
  CHECK(piece.m_answer);
}

TEST_CASE("late text of an earlier forward is not taken twice") {
  RequestEntry entry{Digest("d")};
  const auto [first, start] = entry.BeginForward();
  entry.AddForwardText(first, "abc");
  const auto [second, offset] = entry.BeginForward();
  CHECK(start == 0);
  CHECK(offset == 3);
  entry.AddForwardText(first, "def");
  entry.AddForwardText(second, "def");
  CHECK(entry.Read(0, kNoWait).m_text == "abcdef");
}

TEST_CASE("a listener gets all text from its offset on and then the answer") {
  RequestEntry entry{Digest("d")};
  entry.AddAttemptText(kFirst, "hello ");
  std::string heard;
  auto answers = 0;
  entry.AddListener(
      2, {.m_on_text = [&](std::string_view text, Tokens) { heard += text; },
          .m_on_answer = [&](const CallAnswer&) { ++answers; }});
  entry.AddAttemptText(kFirst, "world");
  entry.Finish({.m_outcome = OutcomeKind::kDone}, "hello world!");
  CHECK(heard == "llo world!");
  CHECK(answers == 1);
}

TEST_CASE("only an answer that is final stays in the table") {
  RequestTable table({.m_max_finished = 2});
  const RequestId request("r");
  CHECK(table.Open(request, Digest("d")).m_created);
  table.Finish({.m_request = request, .m_outcome = OutcomeKind::kNotRun}, "");
  CHECK(table.Open(request, Digest("d")).m_created);
  table.Finish({.m_request = request, .m_outcome = OutcomeKind::kDone}, "");
  CHECK_FALSE(table.Open(request, Digest("d")).m_created);
}

TEST_CASE("the oldest finished requests are forgotten at the limit") {
  RequestTable table({.m_max_finished = 2});
  for (const auto* name : {"r1", "r2", "r3"}) {
    table.Open(RequestId(name), Digest());
    table.Finish(
        {.m_request = RequestId(name), .m_outcome = OutcomeKind::kDone}, "");
  }
  CHECK(table.Find(RequestId("r1")) == nullptr);
  CHECK(table.Find(RequestId("r3")) != nullptr);
  CHECK(table.OpenCount() == 0);
}

}  // namespace
}  // namespace dotterelshed::pvt
