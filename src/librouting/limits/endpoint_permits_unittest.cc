#include "dotterelshed/endpoint_permits.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include <pcg_random.hpp>

namespace dotterelshed {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kWindow = std::chrono::seconds(4);
const EndpointId kEndpoint("e1");

auto MakeDomains(std::size_t count) -> std::vector<DomainId> {
  std::vector<DomainId> domains;
  for (std::size_t i = 0; i < count; ++i) {
    domains.emplace_back("z" + std::to_string(i));
  }
  return domains;
}

auto MakeEndpoint(const std::string& domain, double limit) -> LimitedEndpoint {
  return {.m_id = kEndpoint, .m_domain = DomainId(domain), .m_limit = limit};
}

/// Most of @p times within any span of kWindow.
auto MostInWindow(std::vector<TimePoint> times) -> std::size_t {
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] > kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

TEST_CASE("the domains' shares add up to the limit, however many there are") {
  for (const auto count : {1U, 2U, 3U, 4U, 5U, 6U, 9U, 40U}) {
    const auto domains = MakeDomains(count);
    for (const auto* home : {"z0", "elsewhere"}) {
      const auto endpoint = MakeEndpoint(home, 6.8);
      auto sum = 0.0;
      for (const auto& domain : domains) {
        sum += DomainRate(endpoint, domain, domains);
      }
      CHECK(sum == Approx(6.8));
    }
  }
  CHECK(DomainRate(MakeEndpoint("z0", 6.8), DomainId("z0"), {}) == Approx(6.8));
}

TEST_CASE("the endpoint's own domain has the largest share") {
  const auto domains = MakeDomains(4);
  const auto endpoint = MakeEndpoint("z2", 10);
  CHECK(DomainRate(endpoint, domains[2], domains) == Approx(7));
  CHECK(DomainRate(endpoint, domains[0], domains) == Approx(1));
}

TEST_CASE("a permit comes when the domain's share has accrued") {
  PermitBuckets buckets;
  CHECK_FALSE(TakePermit(buckets, kEndpoint, 2, kStart));
  CHECK(TimeToPermit(buckets, kEndpoint, 2, kStart) ==
        std::chrono::milliseconds(500));
  const auto later = kStart + std::chrono::milliseconds(500);
  CHECK(TakePermit(buckets, kEndpoint, 2, later));
  CHECK_FALSE(TakePermit(buckets, kEndpoint, 2, later));
  // A domain without a share waits for long, not for ever.
  CHECK(TimeToPermit(buckets, EndpointId("e2"), 0, kStart) ==
        std::chrono::seconds(10));
}

/// Leads of all domains give out permits to a crowd. Now and then a domain's
/// lead is replaced by one that knows of no permits, and each permit is used
/// as late as it may be.
TEST_CASE("permits of all domains stay within the bound of any window") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    pcg32 random(seed);
    const auto domains = MakeDomains(1 + random(12));
    const auto limit = 0.1 + random(200) / 10.0;
    std::vector<PermitBuckets> leads(domains.size());
    std::vector<TimePoint> used;
    auto now = kStart;
    for (int step = 0; step < 20000; ++step) {
      now += std::chrono::milliseconds(random(10));
      const auto index = random(static_cast<unsigned>(domains.size()));
      if (random(500) == 0) {
        leads[index].clear();
      }
      const auto rate =
          DomainRate(MakeEndpoint("z0", limit), domains[index], domains);
      if (TakePermit(leads[index], kEndpoint, rate, now)) {
        used.push_back(now + kPermitTime * random(1000) / 1000);
      }
    }
    CAPTURE(seed, limit, domains.size());
    const auto bound = 1.5 * std::max(limit, 0.25) * ToSeconds(kWindow) + 5;
    CHECK(static_cast<double>(MostInWindow(used)) <= bound);
    CHECK(static_cast<double>(used.size()) >=
          0.5 * limit * ToSeconds(now - kStart));
  }
}

}  // namespace
}  // namespace dotterelshed
