#include "text_values.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace dotterelshed::pvt {

namespace {

struct NumberCase {
  std::string m_text;
  std::optional<std::int64_t> m_millionths;
  std::string m_unit;
};

}  // namespace

TEST_CASE("numbers are split into millionths and unit") {
  const auto sample = GENERATE(
      NumberCase{"12", 12000000, ""}, NumberCase{"12.50 DKK", 12500000, "DKK"},
      NumberCase{"500ms", 500000000, "ms"}, NumberCase{"007s", 7000000, "s"},
      NumberCase{"0.000001", 1, ""}, NumberCase{"25  %", 25000000, "%"},
      NumberCase{"9223372036854.775807", INT64_MAX, ""},
      NumberCase{"9223372036854.775808", std::nullopt, ""},
      NumberCase{"9223372036855", std::nullopt, ""},
      NumberCase{"0.0000001", std::nullopt, ""},
      NumberCase{"1.", std::nullopt, ""}, NumberCase{"1.s", std::nullopt, ""},
      NumberCase{".5", std::nullopt, ""}, NumberCase{"1..5", std::nullopt, ""},
      NumberCase{"1.2.3", std::nullopt, ""}, NumberCase{"", std::nullopt, ""},
      NumberCase{"-1s", std::nullopt, ""}, NumberCase{"s", std::nullopt, ""});
  INFO(sample.m_text);
  const auto number = SplitNumber(sample.m_text);
  REQUIRE(number.has_value() == sample.m_millionths.has_value());
  if (number) {
    CHECK(number->m_millionths == *sample.m_millionths);
    CHECK(number->m_unit == sample.m_unit);
  }
}

}  // namespace dotterelshed::pvt
