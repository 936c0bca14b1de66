#include "capacity_report.h"

#include <malloc.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iostream>
#include <numeric>

namespace dotterelshed::bench {

namespace {

constexpr std::int64_t kMicrosPerS = 1000000;
constexpr std::int64_t kNanosPerMicro = 1000;

auto PrintRow(const std::vector<std::string>& cells) -> void {
  for (const auto& cell : cells) {
    std::cout << "| " << cell << " ";
  }
  std::cout << "|\n";
}

}  // namespace

auto ProcessorTime() -> Duration {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return Duration(time.tv_sec * kMicrosPerS + time.tv_nsec / kNanosPerMicro);
}

auto BytesInUse() -> std::int64_t {
  const auto info = mallinfo2();
  return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

auto ResidentBytes() -> std::int64_t {
  std::ifstream file("/proc/self/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  file >> total >> resident;
  return resident * sysconf(_SC_PAGESIZE);
}

auto PrintMarkdown(const std::string& title,
                   const std::vector<std::string>& header,
                   const std::vector<std::vector<std::string>>& rows) -> void {
  std::cout << "\n" << title << "\n\n";
  PrintRow(header);
  PrintRow(std::vector<std::string>(header.size(), "---"));
  for (const auto& row : rows) {
    PrintRow(row);
  }
}

auto Fixed(double value, int digits) -> std::string {
  constexpr auto kBufferSize = 64;
  std::array<char, kBufferSize> buffer{};
  const auto length =
      std::snprintf(buffer.data(), buffer.size(), "%.*f", digits, value);
  return std::string(buffer.data(), static_cast<std::size_t>(length));
}

auto Slope(const std::vector<double>& x, const std::vector<double>& y)
    -> double {
  const auto count = static_cast<double>(x.size());
  const auto mean_x = std::accumulate(x.begin(), x.end(), 0.0) / count;
  const auto mean_y = std::accumulate(y.begin(), y.end(), 0.0) / count;
  auto top = 0.0;
  auto bottom = 0.0;
  for (auto i = std::size_t{0}; i < x.size(); ++i) {
    top += (x[i] - mean_x) * (y[i] - mean_y);
    bottom += (x[i] - mean_x) * (x[i] - mean_x);
  }
  return top / bottom;
}

}  // namespace dotterelshed::bench
