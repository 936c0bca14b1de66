#include <iostream>
#include <string>
#include <vector>

#include "command_line.h"

auto main(int argc, char** argv) -> int {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto code = dotterelshed::ctl::RunCommandLine(
      arguments, {.m_out = std::cout, .m_error = std::cerr});
  return static_cast<int>(code);
}
