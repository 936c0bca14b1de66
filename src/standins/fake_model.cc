#include "fake_model.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>

namespace dotterelshed::standins {

namespace {

constexpr std::int64_t kDefaultMaxTokens = 4096;
constexpr std::int64_t kTokensPerMessage = 4;
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr std::uint64_t kShortestAnswer = 12;
constexpr std::uint64_t kAnswerSpread = 12;
constexpr std::array<std::string_view, 16> kWords = {
    "level ", "inflow ", "sluice ", "steady ", "rises ",   "falls ",
    "gate ",  "meter ",  "quote ",  "mirror ", "coating ", "slot ",
    "at ",    "the ",    "north ",  "basin "};

auto ExtendDigest(std::uint64_t digest, std::string_view text)
    -> std::uint64_t {
  for (const auto c : text) {
    digest = (digest ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return digest;
}

auto MessagesOf(const Json& request) -> Json {
  const auto found = request.find("messages");
  return found != request.end() && found->is_array() ? *found : Json::array();
}

auto ContentOf(const Json& message) -> std::string {
  const auto found = message.find("content");
  return found != message.end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
}

/// The number after "TOKENS ", or @p fallback.
auto AskedLength(const std::string& text, std::uint64_t fallback)
    -> std::uint64_t {
  constexpr std::string_view kMark = "TOKENS ";
  const auto at = text.find(kMark);
  if (at == std::string::npos) {
    return fallback;
  }
  return std::strtoull(text.c_str() + at + kMark.size(), nullptr, 10);
}

/// The tool call that @p text asks for, or null.
auto AskedToolCall(const std::string& text) -> Json {
  constexpr std::string_view kMark = "CALL ";
  const auto at = text.find(kMark);
  if (at == std::string::npos) {
    return nullptr;
  }
  std::istringstream rest(text.substr(at + kMark.size()));
  std::string service;
  std::string path;
  std::string body;
  rest >> service >> path;
  std::getline(rest, body);
  const auto arguments =
      Json{{"path", path}, {"body", Json::parse(body, nullptr, false)}};
  const auto id = ExtendDigest(kFnvOffset, text);
  return Json::array(
      {{{"id", "call_" + std::to_string(id)},
        {"type", "function"},
        {"function", {{"name", service}, {"arguments", arguments.dump()}}}}});
}

/// Splits @p text after each space.
auto SplitTokens(const std::string& text) -> std::vector<std::string> {
  std::vector<std::string> tokens;
  std::string token;
  for (const auto c : text) {
    token += c;
    if (c == ' ') {
      tokens.push_back(token);
      token.clear();
    }
  }
  if (!token.empty()) {
    tokens.push_back(token);
  }
  return tokens;
}

}  // namespace

auto MakeAnswer(const Json& request) -> FakeAnswer {
  const auto messages = MessagesOf(request);
  const auto last = messages.empty() ? Json::object() : messages.back();
  const auto text = ContentOf(last);
  FakeAnswer answer;
  if (last.value("role", "") == "user") {
    answer.m_tool_calls = AskedToolCall(text);
  }
  if (!answer.m_tool_calls.is_null()) {
    answer.m_finish_reason = "tool_calls";
    return answer;
  }
  const auto tail =
      "[messages=" + std::to_string(messages.size()) + " last=" + text + "]";
  auto ending = SplitTokens(tail);
  const auto limit = static_cast<std::size_t>(std::max<std::int64_t>(
      1, request.value("max_tokens", kDefaultMaxTokens)));
  auto state = ExtendDigest(kFnvOffset, messages.dump());
  const auto words = AskedLength(text, kShortestAnswer + state % kAnswerSpread);
  const auto room = limit > ending.size() ? limit - ending.size() : 0;
  for (std::uint64_t i = 0; i < std::min<std::uint64_t>(words, room); ++i) {
    state = ExtendDigest(state, "next");
    answer.m_tokens.emplace_back(kWords[(state >> 32U) % kWords.size()]);
  }
  answer.m_tokens.insert(answer.m_tokens.end(), ending.begin(), ending.end());
  if (answer.m_tokens.size() > limit) {
    answer.m_tokens.resize(limit);
    answer.m_finish_reason = "length";
  }
  return answer;
}

auto PrefixesOf(const Json& request) -> std::vector<PromptPrefix> {
  std::vector<PromptPrefix> prefixes;
  auto digest = ExtendDigest(kFnvOffset, request.value("model", ""));
  std::int64_t tokens = 0;
  for (const auto& message : MessagesOf(request)) {
    const auto text = message.dump();
    digest = ExtendDigest(digest, text);
    tokens +=
        kTokensPerMessage +
        static_cast<std::int64_t>(ContentOf(message).size()) / kBytesPerToken;
    prefixes.push_back({.m_digest = digest, .m_tokens = tokens});
  }
  return prefixes;
}

}  // namespace dotterelshed::standins
