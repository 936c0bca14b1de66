#include "answer_text.h"

#include <nlohmann/json.hpp>

namespace dotterelshed::pvt {

namespace {

/// The first choice's message; null for a body that is no chat completion.
auto FirstMessage(std::string_view body) -> nlohmann::json {
  if (body.find("\"chat.completion\"") == std::string_view::npos) {
    return nullptr;
  }
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const nlohmann::json::json_pointer path("/choices/0/message");
  if (!json.is_object() || !json.contains(path)) {
    return nullptr;
  }
  return json.at(path);
}

}  // namespace

auto AnswerText(std::string_view body) -> std::string {
  const auto message = FirstMessage(body);
  if (!message.is_object() || !message.contains("content") ||
      !message["content"].is_string()) {
    return {};
  }
  return message["content"].get<std::string>();
}

auto AnswerToolCalls(std::string_view body) -> std::string {
  const auto message = FirstMessage(body);
  if (!message.is_object() || !message.contains("tool_calls")) {
    return {};
  }
  return message["tool_calls"].dump();
}

}  // namespace dotterelshed::pvt
