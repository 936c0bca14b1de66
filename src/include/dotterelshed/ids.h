#ifndef DOTTERELSHED_IDS_H_
#define DOTTERELSHED_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/// @file
/// Strong types for identifiers and counters. Two ids of different kinds do
/// not convert into each other, so a host can't be passed for an endpoint.

namespace dotterelshed {

/// A textual identifier whose kind is fixed by @p Tag.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : m_value(std::move(value)) {}

  /// The identifier as it is written in settings, messages and logs.
  auto value() const -> const std::string& { return m_value; }
  auto empty() const -> bool { return m_value.empty(); }
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  auto operator<=>(const StrongId&) const = default;

 private:
  std::string m_value;
};

template <typename Tag>
auto operator<<(std::ostream& out, const StrongId<Tag>& id) -> std::ostream& {
  return out << id.value();
}

/// A counter or quantity whose kind is fixed by @p Tag. Sums and differences
/// stay within the kind; products take a plain factor.
template <typename Tag>
class StrongCount {
 public:
  constexpr StrongCount() = default;
  constexpr explicit StrongCount(std::int64_t value) : m_value(value) {}

  constexpr auto value() const -> std::int64_t { return m_value; }
  constexpr auto Next() const -> StrongCount {
    return StrongCount(m_value + 1);
  }
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  constexpr auto operator<=>(const StrongCount&) const = default;
  constexpr auto operator+(StrongCount other) const -> StrongCount {
    return StrongCount(m_value + other.m_value);
  }
  constexpr auto operator-(StrongCount other) const -> StrongCount {
    return StrongCount(m_value - other.m_value);
  }
  constexpr auto operator*(std::int64_t factor) const -> StrongCount {
    return StrongCount(m_value * factor);
  }
  constexpr auto operator+=(StrongCount other) -> StrongCount& {
    m_value += other.m_value;
    return *this;
  }
  constexpr auto operator-=(StrongCount other) -> StrongCount& {
    m_value -= other.m_value;
    return *this;
  }

 private:
  std::int64_t m_value = 0;
};

template <typename Tag>
auto operator<<(std::ostream& out, StrongCount<Tag> count) -> std::ostream& {
  return out << count.value();
}

/// Version of an endpoint's own software, not of the weights that it serves.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>;
using HostId = StrongId<struct HostIdTag>;
using DomainId = StrongId<struct DomainIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using ServiceId = StrongId<struct ServiceIdTag>;
using EndpointId = StrongId<struct EndpointIdTag>;
using ModelId = StrongId<struct ModelIdTag>;
using AccountId = StrongId<struct AccountIdTag>;
using ClassId = StrongId<struct ClassIdTag>;
using ProgramId = StrongId<struct ProgramIdTag>;
using RequestId = StrongId<struct RequestIdTag>;
using AttemptId = StrongId<struct AttemptIdTag>;
using HoldId = StrongId<struct HoldIdTag>;
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
/// Hex digest of a turn chain, a request's content or a text.
using Digest = StrongId<struct DigestTag>;

/// Position of a call in its program, counted from 1.
using Turn = StrongCount<struct TurnTag>;
/// Version of a pool's ownership; also the fencing number sent to endpoints.
using Term = StrongCount<struct TermTag>;
/// Number of starts of one host; an empty restart is a new incarnation.
using Incarnation = StrongCount<struct IncarnationTag>;
/// Number of an accepted configuration; only ever grows.
using Generation = StrongCount<struct GenerationTag>;
/// Version of an object in the platform's store.
using ResourceVersion = StrongCount<struct ResourceVersionTag>;

/// A host at one start. Copies and roles belong to a HostRef, not a HostId.
struct HostRef {
  HostId m_host;
  Incarnation m_incarnation;
  auto operator<=>(const HostRef&) const = default;
};

}  // namespace dotterelshed

template <typename Tag>
struct std::hash<dotterelshed::StrongId<Tag>> {
  auto operator()(const dotterelshed::StrongId<Tag>& id) const noexcept
      -> std::size_t {
    return std::hash<std::string>{}(id.value());
  }
};

template <typename Tag>
struct std::hash<dotterelshed::StrongCount<Tag>> {
  auto operator()(dotterelshed::StrongCount<Tag> count) const noexcept
      -> std::size_t {
    return std::hash<std::int64_t>{}(count.value());
  }
};

#endif  // DOTTERELSHED_IDS_H_
