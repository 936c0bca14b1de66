#include "dotterelshed/call_fingerprint.h"

#define XXH_INLINE_ALL
#include <fmt/format.h>
#include <xxhash.h>

namespace dotterelshed {

auto MakeFingerprint(const FingerprintParts& parts) -> CallFingerprint {
  // Methods and targets have no spaces, so the joined text is unambiguous.
  const auto line =
      fmt::format("{}{} {} ", parts.m_scope, parts.m_method, parts.m_target);
  const auto seed = XXH3_64bits(line.data(), line.size());
  const auto content =
      XXH3_128bits_withSeed(parts.m_body.data(), parts.m_body.size(), seed);
  return {
      .m_content = {.m_high = content.high64, .m_low = content.low64},
      .m_caller = {XXH3_64bits(parts.m_caller.data(), parts.m_caller.size())}};
}

auto MakeEndpointDigest(const EndpointId& endpoint) -> EndpointDigest {
  const auto& text = endpoint.value();
  return {XXH3_64bits(text.data(), text.size())};
}

auto ToString(const ContentDigest& content) -> std::string {
  return fmt::format("{:016x}{:016x}", content.m_high, content.m_low);
}

}  // namespace dotterelshed
