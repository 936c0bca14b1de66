#ifndef DOTTERELSHED_RELAY_DIRECTORY_H_
#define DOTTERELSHED_RELAY_DIRECTORY_H_

#include <map>
#include <random>
#include <string>
#include <vector>

#include "dotterelshed/units.h"

/// @file
/// Hosts that reach endpoints and may pass on the attempts of hosts that don't,
/// as they said of themselves when they last asked this host for its view.
/// Nothing is stored: an entry lapses when its host asks no more.

namespace dotterelshed {

/// Number of hosts that are named to a host that asks.
inline constexpr std::size_t kMaxRelaysNamed = 6;

struct RelayDirectory {
  /// Time of the last request of each host, by its peer address.
  std::map<std::string, TimePoint> m_hosts;
};

/// A host asked for a view.
/// @param can_relay  It reaches endpoints and isn't being stopped.
auto NoteRelayHost(RelayDirectory& directory,
                   const std::string& address,
                   bool can_relay,
                   TimePoint now) -> void;

/// Returns up to @p count peer addresses, in random order.
auto PickRelays(RelayDirectory& directory,
                std::size_t count,
                TimePoint now,
                std::mt19937_64& random) -> std::vector<std::string>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_RELAY_DIRECTORY_H_
