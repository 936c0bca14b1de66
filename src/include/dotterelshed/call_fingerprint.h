#ifndef DOTTERELSHED_CALL_FINGERPRINT_H_
#define DOTTERELSHED_CALL_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "dotterelshed/ids.h"

/// @file
/// Recognises a request that comes again under a new request id: digests of
/// what it asks for and of who asks. All hosts compute the same digests, so
/// that they can tell each other of a request without its bytes.

namespace dotterelshed {

/// A 64-bit digest whose kind is fixed by @p Tag.
template <typename Tag>
struct StrongDigest {
  std::uint64_t m_bits = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  auto operator<=>(const StrongDigest&) const = default;
};

using CallerDigest = StrongDigest<struct CallerDigestTag>;
using EndpointDigest = StrongDigest<struct EndpointDigestTag>;

/// Of method, target and body.
struct ContentDigest {
  std::uint64_t m_high = 0;
  std::uint64_t m_low = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  auto operator<=>(const ContentDigest&) const = default;
};

struct CallFingerprint {
  ContentDigest m_content;
  CallerDigest m_caller;
};

/// What a fingerprint is made of.
struct FingerprintParts {
  std::string_view m_method;
  /// Path and query.
  std::string_view m_target;
  /// Who sends it; empty if unknown.
  std::string_view m_caller;
  std::string_view m_body;
};

auto MakeFingerprint(const FingerprintParts& parts) -> CallFingerprint;

auto MakeEndpointDigest(const EndpointId& endpoint) -> EndpointDigest;

/// Hexadecimal, for logs.
auto ToString(const ContentDigest& content) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_FINGERPRINT_H_
