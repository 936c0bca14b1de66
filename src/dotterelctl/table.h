#ifndef DOTTERELSHED_DOTTERELCTL_TABLE_H_
#define DOTTERELSHED_DOTTERELCTL_TABLE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace dotterelshed::ctl {

/// Rows of text in columns as wide as their widest cell.
struct Table {
  std::vector<std::string> m_header;
  std::vector<std::vector<std::string>> m_rows;
};

/// Prints @p table with two blanks between columns and before each row.
auto PrintTable(const Table& table, std::ostream& out) -> void;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_TABLE_H_
