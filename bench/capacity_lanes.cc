// Cost of one write of a lane object, over the claims that it holds.
#include <vector>

#include "capacity_report.h"
#include "dotterelshed/error.h"
#include "dotterelshed/platform_codec.h"

namespace dotterelshed::bench {
namespace {

auto MakeLane(int claims, int answer_bytes) -> ClaimShardObject {
  ClaimShardObject lane{.m_shard = ClaimShardId("lane-0")};
  for (auto i = 0; i < claims; ++i) {
    ClaimRecord claim;
    const auto name = std::to_string(i);
    claim.m_key = IdempotencyKey("booking-2026-12-04-" + name);
    claim.m_content = Digest(std::string(32, 'c'));
    claim.m_request = RequestId("west.9f86d081884c7d65:" + name);
    claim.m_program = ProgramId("west.9f86d081884c7d65");
    claim.m_claimer = {HostId("west-3"), Incarnation(1)};
    claim.m_nonce = "0123456789abcdef";
    claim.m_has_result = true;
    claim.m_outcome = OutcomeKind::kDone;
    claim.m_http_status = 200;
    claim.m_answer = std::string(static_cast<std::size_t>(answer_bytes), 'a');
    lane.m_claims.push_back(claim);
  }
  return lane;
}

auto Measure(int claims, int answer_bytes) -> std::vector<std::string> {
  constexpr auto kRounds = 50;
  const auto lane = MakeLane(claims, answer_bytes);
  std::string text;
  const auto begin = ProcessorTime();
  for (auto i = 0; i < kRounds; ++i) {
    text = EncodeLane(lane);
    DOTTERELSHED_CHECK(DecodeLane(text));
  }
  const auto spent = ToSeconds(ProcessorTime() - begin) / kRounds;
  return {std::to_string(claims), std::to_string(answer_bytes),
          Fixed(static_cast<double>(text.size()) / 1024, 1),
          Fixed(spent * 1e6, 0)};
}

auto Run() -> void {
  std::vector<std::vector<std::string>> rows;
  for (const auto claims : {10, 100, 500, 1000}) {
    rows.push_back(Measure(claims, 200));
  }
  rows.push_back(Measure(100, 2000));
  PrintMarkdown("One lane object, encoded and decoded",
                {"claims", "answer bytes", "object KiB", "us"}, rows);
}

}  // namespace
}  // namespace dotterelshed::bench

auto main() -> int {
  dotterelshed::bench::Run();
  return 0;
}
