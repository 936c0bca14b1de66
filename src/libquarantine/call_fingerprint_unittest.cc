#include "dotterelshed/call_fingerprint.h"

#include <catch2/catch.hpp>
#include <set>

namespace dotterelshed {
namespace {

TEST_CASE("only equal requests have equal fingerprints") {
  const FingerprintParts parts{.m_method = "POST",
                               .m_target = "/a/b",
                               .m_caller = "p",
                               .m_body = "text"};
  const auto same = MakeFingerprint(parts);
  CHECK(MakeFingerprint(parts).m_content == same.m_content);
  CHECK(MakeFingerprint(parts).m_caller == same.m_caller);
  std::set<ContentDigest> contents{same.m_content};
  for (auto other : {FingerprintParts{"GET", "/a/b", "p", "text"},
                     FingerprintParts{"POST", "/a/", "p", "btext"},
                     FingerprintParts{"POST", "/a/b", "p", "texT"},
                     FingerprintParts{"POST", "/a/b", "p", ""}}) {
    contents.insert(MakeFingerprint(other).m_content);
  }
  CHECK(contents.size() == 5);
}

TEST_CASE("the content digest doesn't depend on the caller") {
  const auto one = MakeFingerprint({"GET", "/a", "p", ""});
  const auto other = MakeFingerprint({"GET", "/a", "q", ""});
  CHECK(one.m_content == other.m_content);
  CHECK(one.m_caller != other.m_caller);
}

TEST_CASE("the same request of two accounts has two contents") {
  const FingerprintParts parts{"GET", "/a", "p", ""};
  auto one = parts;
  one.m_scope = "a\n";
  auto other = parts;
  other.m_scope = "b\n";
  const auto none = MakeFingerprint(parts).m_content;
  CHECK(MakeFingerprint(one).m_content != none);
  CHECK(MakeFingerprint(one).m_content != MakeFingerprint(other).m_content);
}

TEST_CASE("fingerprints are the same on every machine") {
  const auto call = MakeFingerprint({"POST", "/a/b", "p", "text"});
  CHECK(ToString(call.m_content) == "776c6411afaf79a17b106e1466dc5630");
}

}  // namespace
}  // namespace dotterelshed
