#ifndef DOTTERELSHED_DOTTERELCTL_STATUS_PRINT_H_
#define DOTTERELSHED_DOTTERELCTL_STATUS_PRINT_H_

#include <iosfwd>
#include <string>

#include "status_report.h"

namespace dotterelshed::ctl {

/// Tables for people; what does not hold comes first.
auto PrintStatus(const StatusReport& report, std::ostream& out) -> void;

/// One JSON object; its members are described in
/// docs/operators/status-and-dumps.md.
auto StatusJson(const StatusReport& report) -> std::string;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_STATUS_PRINT_H_
