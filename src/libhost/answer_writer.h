#ifndef DOTTERELSHED_LIBHOST_ANSWER_WRITER_H_
#define DOTTERELSHED_LIBHOST_ANSWER_WRITER_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "dotterelshed/call.h"

/// @file
/// From a CallAnswer to what a caller reads.

namespace dotterelshed::pvt {

/// HTTP status of an answer.
auto HttpStatus(const CallAnswer& answer) -> int;

/// The X-Dotterelshed-* headers of an answer, Retry-After included.
auto AnswerHeaders(const CallAnswer& answer, std::string_view token_secret)
    -> std::map<std::string, std::string>;

/// Body of an answer: the endpoint's, or a typed error.
auto AnswerBody(const CallAnswer& answer) -> std::string;

/// A typed error body: {"error": {"type", "message", ...}}.
auto ErrorBody(ReasonCode reason,
               OutcomeKind outcome,
               std::string_view message,
               const RequestId& request) -> std::string;

/// Length of the part of @p text that ends in a whole UTF-8 character.
auto CompleteUtf8Length(std::string_view text) -> std::size_t;

/// One server-sent event with a piece of generated text.
auto TextEvent(const RequestId& request,
               std::string_view model,
               std::string_view text) -> std::string;

/// The events that end a stream: finish reason, outcome, "[DONE]".
auto FinalEvents(const CallAnswer& answer,
                 std::string_view model,
                 bool diverged,
                 std::string_view token_secret) -> std::string;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_ANSWER_WRITER_H_
