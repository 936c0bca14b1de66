#ifndef DOTTERELSHED_JUDGEMENT_LOG_H_
#define DOTTERELSHED_JUDGEMENT_LOG_H_

#include <string_view>
#include <vector>

#include "dotterelshed/endpoint_judgement.h"

/// @file
/// Log lines and metrics of judgements.

namespace dotterelshed {

/// Logs and counts changes of a judgement.
/// @param judge  "lead" or "host".
auto ReportJudgement(const std::vector<JudgementChange>& changes,
                     std::string_view judge) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_JUDGEMENT_LOG_H_
