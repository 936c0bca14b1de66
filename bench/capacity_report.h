#ifndef DOTTERELSHED_BENCH_CAPACITY_REPORT_H_
#define DOTTERELSHED_BENCH_CAPACITY_REPORT_H_

#include <chrono>
#include <string>
#include <vector>

#include "dotterelshed/units.h"

/// @file
/// What the capacity programs share: processor time, memory in use, and tables
/// in Markdown.

namespace dotterelshed::bench {

/// Processor time of this process so far.
auto ProcessorTime() -> Duration;

/// Bytes that the allocator has given out and not got back.
auto BytesInUse() -> std::int64_t;

/// Resident memory of the process in bytes.
auto ResidentBytes() -> std::int64_t;

/// Prints a table in Markdown under @p title.
auto PrintMarkdown(const std::string& title,
                   const std::vector<std::string>& header,
                   const std::vector<std::vector<std::string>>& rows) -> void;

/// @p value with @p digits decimals.
auto Fixed(double value, int digits) -> std::string;

/// Least-squares slope of @p y over @p x.
auto Slope(const std::vector<double>& x, const std::vector<double>& y)
    -> double;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_CAPACITY_REPORT_H_
