#include "dotterelshed/byte_text.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

namespace dotterelshed {
namespace {

TEST_CASE("text that is valid UTF-8 is unchanged") {
  const auto* text = GENERATE("", "p-1", "50%", "%ff", "hex:ff", "n\xc3\xa9",
                              "\xf0\x9f\x90\xa6", "a b");
  CHECK(IsUtf8(text));
  CHECK(EncodeText(text) == text);
  CHECK(DecodeText(text) == text);
}

TEST_CASE("overlong, cut and surrogate sequences aren't UTF-8") {
  CHECK_FALSE(
      IsUtf8(GENERATE("\xff", "\x80", "\xc3", "\xc0\x80", "\xe0\x80\x80",
                      "\xed\xa0\x80", "\xf4\x90\x80\x80", "a\xf0\x9f")));
}

TEST_CASE("any bytes are unchanged by encoding and decoding, and fit JSON") {
  std::mt19937 random(GENERATE(range(1U, 9U)));
  for (int i = 0; i < 2000; ++i) {
    std::string bytes(random() % 12, '\0');
    for (auto& byte : bytes) {
      byte = static_cast<char>(random());
    }
    if (i % 7 == 0) {
      bytes = EncodeText("\xff") + bytes;
    }
    const auto text = EncodeText(bytes);
    CHECK(DecodeText(text) == bytes);
    CHECK(nlohmann::json::parse(nlohmann::json(text).dump()) == text);
  }
}

TEST_CASE("text that only looks encoded stays as it is") {
  const auto* text = GENERATE("\x1fhex:f", "\x1fhex:zz", "\x1fhex:+1", "\x1f");
  CHECK(DecodeText(text) == text);
  CHECK(DecodeText(EncodeText(text)) == text);
}

TEST_CASE("a name is one part of a path") {
  CHECK(EscapePathPart("storage-zone-a.1_x:2~") == "storage-zone-a.1_x:2~");
  CHECK(EscapePathPart("../../etc") == "..%2F..%2Fetc");
  CHECK(EscapePathPart("..") == "%2E%2E");
  CHECK(EscapePathPart("a b\r\n%\xff?#") == "a%20b%0D%0A%25%FF%3F%23");
}

}  // namespace
}  // namespace dotterelshed
