#ifndef DOTTERELSHED_RELAY_MESSAGES_H_
#define DOTTERELSHED_RELAY_MESSAGES_H_

#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"

/// @file
/// Messages between a host that reaches no endpoint and those that pass its
/// attempts on. Bodies are JSON.

namespace dotterelshed {

/// Asks for a connection to an endpoint.
struct RelayRequest {
  /// "IP:port".
  std::string m_endpoint_address;
};

auto EncodeRelayRequest(const RelayRequest& request) -> std::string;
/// Errors: kInvalidArgument.
auto DecodeRelayRequest(std::string_view text) -> Result<RelayRequest>;

/// @param addresses  Peer addresses of hosts that pass attempts on.
auto EncodeRelays(const std::vector<std::string>& addresses) -> std::string;
/// Errors: kInvalidArgument.
auto DecodeRelays(std::string_view text) -> Result<std::vector<std::string>>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_RELAY_MESSAGES_H_
