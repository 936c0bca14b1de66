#include "program_ids.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <random>

namespace dotterelshed::pvt {

namespace {

constexpr std::size_t kHexDigits = 16;

/// Position after the domain's dot; npos if there is none.
auto HexStart(const std::string& program) -> std::size_t {
  const auto dot = program.rfind('.');
  return dot == std::string::npos ? dot : dot + 1;
}

}  // namespace

auto RandomHex() -> std::string {
  thread_local std::random_device device;
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%08x%08x", device(), device());
  return {text.data(), kHexDigits};
}

auto NewProgramId(const DomainId& domain, const std::string& hex) -> ProgramId {
  return ProgramId(domain.value() + "." + hex);
}

auto NewSubProgramId(const ProgramId& parent, const std::string& hex)
    -> ProgramId {
  return ProgramId(RootOf(parent).value() + "-" + hex);
}

auto NewRequestId(const ProgramId& program) -> RequestId {
  return RequestId(program.value() + ":" + RandomHex());
}

auto RootOf(const ProgramId& program) -> ProgramId {
  const auto& text = program.value();
  const auto hex = HexStart(text);
  if (hex == std::string::npos) {
    return program;
  }
  return ProgramId(text.substr(0, text.find('-', hex)));
}

auto ProgramOf(const RequestId& request) -> ProgramId {
  const auto colon = request.value().rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  ProgramId program(request.value().substr(0, colon));
  return IsProgramId(program) ? program : ProgramId();
}

auto IsProgramId(const ProgramId& program) -> bool {
  const auto& text = program.value();
  const auto hex = HexStart(text);
  if (hex == std::string::npos || hex < 2 || text.size() < hex + kHexDigits) {
    return false;
  }
  return text.find_first_not_of("0123456789abcdef-", hex) == std::string::npos;
}

}  // namespace dotterelshed::pvt
