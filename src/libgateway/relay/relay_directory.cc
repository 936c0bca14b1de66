#include "relay/relay_directory.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Hosts ask about once per second; one that reads the store itself for a while
/// asks after two.
constexpr Duration kMaxSilence = std::chrono::seconds(3);

}  // namespace

auto NoteRelayHost(RelayDirectory& directory,
                   const std::string& address,
                   bool can_relay,
                   TimePoint now) -> void {
  if (can_relay) {
    directory.m_hosts[address] = now;
  } else {
    directory.m_hosts.erase(address);
  }
}

auto PickRelays(RelayDirectory& directory,
                std::size_t count,
                TimePoint now,
                std::mt19937_64& random) -> std::vector<std::string> {
  std::erase_if(directory.m_hosts, [now](const auto& item) {
    return now - item.second > kMaxSilence;
  });
  std::vector<std::string> addresses;
  for (const auto& [address, seen] : directory.m_hosts) {
    addresses.push_back(address);
  }
  std::shuffle(addresses.begin(), addresses.end(), random);
  addresses.resize(std::min(count, addresses.size()));
  return addresses;
}

}  // namespace dotterelshed
