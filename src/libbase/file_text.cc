#include "dotterelshed/file_text.h"

#include <fstream>
#include <sstream>

namespace dotterelshed {

auto ReadFileText(const std::string& file) -> Result<std::string> {
  std::ifstream in(file);
  if (!in) {
    return Fail(ErrorCode::kNotFound, "can't be read", file);
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace dotterelshed
