#include "dotterelshed/quota_term.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TEST_CASE("a successor grants only after its silent predecessor's authority") {
  // The predecessor's last write was confirmed just before it was fenced.
  const auto sole_from = SoleFrom({.m_fenced = true}, kStart);
  CHECK(MayGrant(kStart, sole_from - milliseconds(1)));
  CHECK_FALSE(MayGrant(kStart, sole_from));
}

TEST_CASE("the first lead of a domain waits for nobody") {
  CHECK(SoleFrom({.m_first = true}, kStart) == kStart);
}

TEST_CASE("a predecessor that isn't fenced is waited for much longer") {
  CHECK(SoleFrom({}, kStart) > SoleFrom({.m_fenced = true}, kStart));
}

TEST_CASE("a lead that knows that its predecessor stopped inherits its wait") {
  const TermStart start{.m_wait_left = milliseconds(700)};
  CHECK(SoleFrom(start, kStart) == kStart + milliseconds(700));
}

TEST_CASE("a lead that stopped hands over the wait for its own predecessor") {
  CHECK(WaitAfterHandover(kStart + seconds(1), kStart) == seconds(1));
  CHECK(WaitAfterHandover(kStart - seconds(1), kStart) == Duration{0});
  CHECK_FALSE(WaitAfterHandover(std::nullopt, kStart));
}

}  // namespace
}  // namespace dotterelshed
