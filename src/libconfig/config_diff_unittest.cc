#include "dotterelshed/config_diff.h"

#include <catch2/catch.hpp>

namespace dotterelshed {
namespace {

TEST_CASE("a difference is named by section, path and both values") {
  const auto* before = R"({ "desk": "a", // comment
    "services": [ {"name": "x", "timeout": "1s"}, {"name": "y"} ],
    "domains": ["n"] })";
  const auto* after = R"({ "desk": "a",
    "services": [ {"name": "z"}, {"name": "x", "timeout": "2s"} ],
    "domains": ["n", "s"], "shares": {} })";
  CHECK(FormatChanges(DiffConfigTexts(before, after)) ==
        R"(services
  ~ services[x].timeout: "1s" -> "2s"
  - services[y]: {"name": "y"}
  + services[z]: {"name": "z"}
domains
  ~ domains: ["n"] -> ["n", "s"]
shares
  + shares: {}
)");
}

TEST_CASE("comments, layout and order of named items make no difference") {
  CHECK(DiffConfigTexts(R"({"a": [{"name": "x"}, {"name": "y"}], "b": 1})",
                        R"(// c
      {"b": 1, "a": [ {"name": "y"}, {"name": "x"} ]})")
            .empty());
}

}  // namespace
}  // namespace dotterelshed
