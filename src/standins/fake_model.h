#ifndef DOTTERELSHED_STANDINS_FAKE_MODEL_H_
#define DOTTERELSHED_STANDINS_FAKE_MODEL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "standin.h"

/// @file
/// Text of the engine stand-in: the same messages always give the same answer.

namespace dotterelshed::standins {

/// A whole answer, known before the first token is sent.
struct FakeAnswer {
  /// Pieces of text, one a token.
  std::vector<std::string> m_tokens;
  /// Set instead of text when the model asks for a tool.
  Json m_tool_calls;
  std::string m_finish_reason = "stop";
};

/// Answers a chat. The text is some words and then
/// "[messages=N last=TEXT]", TEXT being the content of the last message.
/// "TOKENS N" in the last message asks for N words; "CALL SERVICE PATH JSON"
/// in a last message of the user asks for that tool call.
auto MakeAnswer(const Json& request) -> FakeAnswer;

/// Running digest and token count after each message, the model included;
/// two chats with a common beginning share the first entries.
struct PromptPrefix {
  std::uint64_t m_digest = 0;
  std::int64_t m_tokens = 0;
};
auto PrefixesOf(const Json& request) -> std::vector<PromptPrefix>;

}  // namespace dotterelshed::standins

#endif  // DOTTERELSHED_STANDINS_FAKE_MODEL_H_
