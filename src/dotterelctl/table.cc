#include "table.h"

#include <algorithm>
#include <ostream>

namespace dotterelshed::ctl {

namespace {

using Row = std::vector<std::string>;

auto Widen(std::vector<std::size_t>& widths, const Row& row) -> void {
  widths.resize(std::max(widths.size(), row.size()), 0);
  for (auto i = std::size_t{0}; i < row.size(); ++i) {
    widths[i] = std::max(widths[i], row[i].size());
  }
}

auto PrintRow(const Row& row,
              const std::vector<std::size_t>& widths,
              std::ostream& out) -> void {
  std::string line;
  for (auto i = std::size_t{0}; i < row.size(); ++i) {
    auto cell = row[i];
    if (i + 1 < row.size()) {
      cell.resize(widths[i], ' ');
    }
    line += "  " + cell;
  }
  out << line << "\n";
}

}  // namespace

auto PrintTable(const Table& table, std::ostream& out) -> void {
  std::vector<std::size_t> widths;
  Widen(widths, table.m_header);
  for (const auto& row : table.m_rows) {
    Widen(widths, row);
  }
  PrintRow(table.m_header, widths, out);
  for (const auto& row : table.m_rows) {
    PrintRow(row, widths, out);
  }
}

}  // namespace dotterelshed::ctl
