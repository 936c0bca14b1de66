#include "nearest_name.h"

#include <algorithm>
#include <cstddef>

namespace dotterelshed::pvt {

namespace {

/// Single-letter edits that turn @p left into @p right.
auto EditDistance(std::string_view left, std::string_view right)
    -> std::size_t {
  std::vector<std::size_t> row(right.size() + 1);
  for (auto j = std::size_t{0}; j <= right.size(); ++j) {
    row[j] = j;
  }
  for (auto i = std::size_t{1}; i <= left.size(); ++i) {
    auto diagonal = row[0];
    row[0] = i;
    for (auto j = std::size_t{1}; j <= right.size(); ++j) {
      const auto replaced = diagonal + (left[i - 1] == right[j - 1] ? 0U : 1U);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row[right.size()];
}

}  // namespace

auto NearestName(std::string_view name,
                 const std::vector<std::string>& candidates) -> std::string {
  constexpr std::size_t kMaxLength = 64;
  std::string best;
  auto best_distance = std::max<std::size_t>(name.size() / 2, 2);
  if (name.size() > kMaxLength) {
    return best;
  }
  for (const auto& candidate : candidates) {
    const auto distance = EditDistance(name, candidate);
    if (distance < best_distance ||
        (distance == best_distance && best.empty())) {
      best = candidate;
      best_distance = distance;
    }
  }
  return best;
}

}  // namespace dotterelshed::pvt
