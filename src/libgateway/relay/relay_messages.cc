#include "relay/relay_messages.h"

#include <nlohmann/json.hpp>

namespace dotterelshed {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kPlace = "relay message";

/// Decodes the member @p name of a message.
template <typename T>
auto DecodeMember(std::string_view text, const char* name) -> Result<T> {
  try {
    return Json::parse(text).at(name).get<T>();
  } catch (const Json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what(), std::string(kPlace));
  }
}

}  // namespace

auto EncodeRelayRequest(const RelayRequest& request) -> std::string {
  return Json{{"endpoint", request.m_endpoint_address}}.dump();
}

auto DecodeRelayRequest(std::string_view text) -> Result<RelayRequest> {
  return DecodeMember<std::string>(text, "endpoint").map([](auto address) {
    return RelayRequest{.m_endpoint_address = std::move(address)};
  });
}

auto EncodeRelays(const std::vector<std::string>& addresses) -> std::string {
  return Json{{"relays", addresses}}.dump();
}

auto DecodeRelays(std::string_view text) -> Result<std::vector<std::string>> {
  return DecodeMember<std::vector<std::string>>(text, "relays");
}

}  // namespace dotterelshed
