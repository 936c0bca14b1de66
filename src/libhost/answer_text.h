#ifndef DOTTERELSHED_LIBHOST_ANSWER_TEXT_H_
#define DOTTERELSHED_LIBHOST_ANSWER_TEXT_H_

#include <string>
#include <string_view>

/// @file
/// Reads of a chat completion's body.

namespace dotterelshed::pvt {

/// The generated text of a chat completion; empty for any other body.
auto AnswerText(std::string_view body) -> std::string;

/// The "tool_calls" of a chat completion as JSON text; empty if it has none.
auto AnswerToolCalls(std::string_view body) -> std::string;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_ANSWER_TEXT_H_
