#include "dotterelshed/continuation_token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "digests.h"

namespace dotterelshed {

namespace {

constexpr std::size_t kMaxTokenChars = 8192;

/// Base64url without padding (RFC 4648, section 5).
auto EncodeBase64Url(const std::string& bytes) -> std::string {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const auto size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  text.erase(std::find(text.begin(), text.end(), '='), text.end());
  return text;
}

auto DecodeBase64Url(std::string text) -> std::optional<std::string> {
  std::replace(text.begin(), text.end(), '-', '+');
  std::replace(text.begin(), text.end(), '_', '/');
  const auto padding = (4 - text.size() % 4) % 4;
  text.append(padding, '=');
  std::string bytes(text.size(), '\0');
  const auto size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < static_cast<int>(padding)) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

auto Encode(const ContinuationToken& token) -> std::string {
  nlohmann::json holders = nlohmann::json::array();
  for (const auto& holder : token.m_holders) {
    holders.push_back({holder.m_host.value(), holder.m_incarnation.value()});
  }
  const nlohmann::json fields = {token.m_program.value(), token.m_turn.value(),
                                 token.m_chain.value(), token.m_spent.value(),
                                 std::move(holders)};
  return fields.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

auto Decode(const std::string& payload) -> Result<ContinuationToken> {
  const auto fields = nlohmann::json::parse(payload, nullptr, false);
  if (!fields.is_array() || fields.size() != 5) {
    return Fail(ErrorCode::kInvalidArgument, "not a continuation token");
  }
  ContinuationToken token;
  token.m_program = ProgramId(fields[0].get<std::string>());
  token.m_turn = Turn(fields[1].get<std::int64_t>());
  token.m_chain = Digest(fields[2].get<std::string>());
  token.m_spent = Cost(fields[3].get<std::int64_t>());
  for (const auto& holder : fields[4]) {
    token.m_holders.push_back(
        {.m_host = HostId(holder.at(0).get<std::string>()),
         .m_incarnation = Incarnation(holder.at(1).get<std::int64_t>())});
  }
  return token;
}

}  // namespace

auto SignToken(const ContinuationToken& token, std::string_view key)
    -> std::string {
  const auto payload = EncodeBase64Url(Encode(token));
  return payload + "." + pvt::HmacSha256Hex(key, payload);
}

auto CheckToken(std::string_view text, std::string_view key)
    -> Result<ContinuationToken> {
  const auto dot = text.find('.');
  if (dot == std::string_view::npos || text.size() > kMaxTokenChars) {
    return Fail(ErrorCode::kInvalidArgument, "not a continuation token");
  }
  const std::string payload(text.substr(0, dot));
  const std::string signature(text.substr(dot + 1));
  const auto expected = pvt::HmacSha256Hex(key, payload);
  if (signature.size() != expected.size() ||
      CRYPTO_memcmp(signature.data(), expected.data(), expected.size()) != 0) {
    return Fail(ErrorCode::kForbidden,
                "the continuation token's signature is invalid");
  }
  const auto bytes = DecodeBase64Url(payload);
  if (!bytes) {
    return Fail(ErrorCode::kInvalidArgument, "not a continuation token");
  }
  // Decode need not check types: the valid signature shows that Encode wrote
  // the payload.
  return Decode(*bytes);
}

}  // namespace dotterelshed
