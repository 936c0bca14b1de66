#include <nlohmann/json.hpp>
#include <ostream>

#include "command.h"
#include "desk_store.h"
#include "table.h"

namespace dotterelshed::ctl {

namespace {

using Json = nlohmann::ordered_json;

auto OutcomeName(const ClaimRecord& claim) -> std::string {
  return claim.m_has_result ? std::string(ToString(claim.m_outcome))
                            : "no result";
}

auto ClaimsJson(const std::vector<ClaimRecord>& claims, std::int64_t now)
    -> Json {
  auto list = Json::array();
  for (const auto& claim : claims) {
    list.push_back({{"key", claim.m_key.value()},
                    {"request", claim.m_request.value()},
                    {"program", claim.m_program.value()},
                    {"claimer", claim.m_claimer.m_host.value()},
                    {"has_result", claim.m_has_result},
                    {"outcome", ToString(claim.m_outcome)},
                    {"claimed_at_s", claim.m_claimed_at_s},
                    {"age_s", now - claim.m_claimed_at_s}});
  }
  return list;
}

auto PrintClaims(const std::vector<ClaimRecord>& claims,
                 std::int64_t now,
                 std::ostream& out) -> void {
  Table table{.m_header = {"KEY", "PROGRAM", "REQUEST", "CLAIMED BY", "AGE",
                           "OUTCOME"}};
  for (const auto& claim : claims) {
    table.m_rows.push_back(
        {claim.m_key.value(), claim.m_program.value(), claim.m_request.value(),
         claim.m_claimer.m_host.value(),
         std::to_string(now - claim.m_claimed_at_s) + "s", OutcomeName(claim)});
  }
  PrintTable(table, out);
}

}  // namespace

auto RunActions(const CommandOptions& options, const CommandOutput& output)
    -> ExitCode {
  const auto claims =
      ReadClaims(MakePlatformOptions(options.m_platform), options.m_all);
  if (!claims) {
    return ReportError(claims.error(), options, output);
  }
  const auto now = WallClockSeconds();
  if (options.m_json) {
    output.m_out << ClaimsJson(*claims, now).dump() << "\n";
    return ExitCode::kOk;
  }
  if (claims->empty()) {
    output.m_out << "no call is without a result\n";
    return ExitCode::kOk;
  }
  PrintClaims(*claims, now, output.m_out);
  return ExitCode::kOk;
}

}  // namespace dotterelshed::ctl
