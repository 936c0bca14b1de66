#ifndef DOTTERELSHED_CALL_FINGERPRINT_H_
#define DOTTERELSHED_CALL_FINGERPRINT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "dotterelshed/ids.h"

/// @file
/// Digests of a request's content and caller, which recognise a request that is
/// sent again under a new request id. All hosts compute the same digests, so
/// they can exchange reports of a request without sending its bytes.

namespace dotterelshed {

/// A 64-bit digest; @p Tag makes each kind of digest a separate type.
template <typename Tag>
struct StrongDigest {
  std::uint64_t m_bits = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  auto operator<=>(const StrongDigest&) const = default;
};

using CallerDigest = StrongDigest<struct CallerDigestTag>;
using EndpointDigest = StrongDigest<struct EndpointDigestTag>;

/// Digest of method, target and body.
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

/// The parts of a request that its fingerprint covers.
struct FingerprintParts {
  std::string_view m_method;
  /// Path and query.
  std::string_view m_target;
  /// Identity of the caller; empty if unknown.
  std::string_view m_caller;
  std::string_view m_body;
  /// Set where requests of different accounts are counted apart.
  std::string_view m_scope = {};
};

auto MakeFingerprint(const FingerprintParts& parts) -> CallFingerprint;

auto MakeEndpointDigest(const EndpointId& endpoint) -> EndpointDigest;

/// Hexadecimal, for logs.
auto ToString(const ContentDigest& content) -> std::string;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_CALL_FINGERPRINT_H_
