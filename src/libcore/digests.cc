#include "digests.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

#include "dotterelshed/error.h"

namespace dotterelshed::pvt {

namespace {

/// A length-prefixed field, so that the concatenation of fields is unambiguous.
auto Field(const std::string& value) -> std::string {
  return std::to_string(value.size()) + ":" + value;
}

}  // namespace

auto ToHex(std::string_view bytes) -> std::string {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(bytes.size() * 2);
  for (const auto byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex.push_back(kDigits[value >> 4U]);
    hex.push_back(kDigits[value & 15U]);
  }
  return hex;
}

auto Sha256Hex(std::string_view data) -> std::string {
  std::array<char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const auto done = EVP_Digest(data.data(), data.size(),
                               reinterpret_cast<unsigned char*>(digest.data()),
                               &size, EVP_sha256(), nullptr);
  DOTTERELSHED_CHECK(done == 1);
  return ToHex({digest.data(), size});
}

auto HmacSha256Hex(std::string_view key, std::string_view data) -> std::string {
  std::array<char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const auto* done =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(data.data()), data.size(),
           reinterpret_cast<unsigned char*>(digest.data()), &size);
  DOTTERELSHED_CHECK(done != nullptr);
  return ToHex({digest.data(), size});
}

auto ChainDigest(const ProgramId& program,
                 const Digest& previous,
                 const TurnRecord& record) -> Digest {
  const auto text =
      Field(program.value()) + Field(previous.value()) +
      Field(std::to_string(record.m_turn.value())) +
      Field(record.m_content.value()) + Field(record.m_request.value()) +
      Field(std::string(ToString(record.m_outcome))) + Field(record.m_answer);
  return Digest(Sha256Hex(text));
}

}  // namespace dotterelshed::pvt
