#include "completion_stream.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterelshed::pvt {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kDone = "[DONE]";

/// The object's number @p name, or @p fallback.
auto NumberOr(const Json& object, const char* name, std::int64_t fallback)
    -> std::int64_t {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_integer()
             ? found->get<std::int64_t>()
             : fallback;
}

auto TextOr(const Json& object, const char* name, const char* fallback)
    -> std::string {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string(fallback);
}

/// A member that is an object, or an empty object.
auto ObjectOr(const Json& object, const char* name) -> Json {
  const auto found = object.find(name);
  return found != object.end() && found->is_object() ? *found : Json::object();
}

auto FirstChoice(const Json& chunk) -> Json {
  const auto found = chunk.find("choices");
  if (found == chunk.end() || !found->is_array() || found->empty() ||
      !found->front().is_object()) {
    return Json::object();
  }
  return found->front();
}

}  // namespace

struct CompletionStream::State {
  TextSink m_sink;
  std::string m_line;
  std::string m_text;
  std::string m_id;
  std::string m_model;
  std::string m_finish_reason;
  Json m_tool_calls = Json::array();
  Json m_usage = Json::object();
  std::int64_t m_tokens = 0;
  bool m_finished = false;
};

namespace {

/// Adds the part of @p text that lies after what was had before.
auto AddText(const std::string& text,
             std::size_t offset,
             std::int64_t tokens,
             const CompletionStream::TextSink& sink,
             std::string& whole) -> bool {
  if (offset > whole.size()) {
    return false;
  }
  const auto known = whole.size() - offset;
  if (known >= text.size()) {
    return true;
  }
  const auto fresh = std::string_view(text).substr(known);
  whole += fresh;
  if (sink) {
    sink(fresh, Tokens(tokens));
  }
  return true;
}

/// Merges tool call deltas: by index, arguments are appended.
auto AddToolCalls(const Json& deltas, Json& calls) -> void {
  for (const auto& delta : deltas) {
    if (!delta.is_object()) {
      continue;
    }
    const auto index = static_cast<std::size_t>(
        NumberOr(delta, "index", static_cast<std::int64_t>(calls.size())));
    if (index > calls.size()) {
      continue;
    }
    if (index == calls.size()) {
      calls.push_back({{"id", TextOr(delta, "id", "")},
                       {"type", "function"},
                       {"function", {{"name", ""}, {"arguments", ""}}}});
    }
    auto& function = calls[index]["function"];
    const auto added = ObjectOr(delta, "function");
    function["name"] =
        function["name"].get<std::string>() + TextOr(added, "name", "");
    function["arguments"] = function["arguments"].get<std::string>() +
                            TextOr(added, "arguments", "");
  }
}

}  // namespace

CompletionStream::CompletionStream(TextSink sink)
    : m_state(std::make_unique<State>()) {
  m_state->m_sink = std::move(sink);
}

CompletionStream::~CompletionStream() = default;

auto CompletionStream::Reconnect() -> void {
  m_state->m_line.clear();
  // Tool calls are not part of the offset; they are sent again.
  m_state->m_tool_calls = Json::array();
}

auto CompletionStream::Feed(std::string_view bytes) -> bool {
  auto& s = *m_state;
  for (const auto c : bytes) {
    if (c != '\n') {
      s.m_line += c;
      continue;
    }
    const auto line = std::exchange(s.m_line, std::string());
    if (line.compare(0, kDataField.size(), kDataField) != 0) {
      continue;
    }
    const auto data = line.substr(kDataField.size());
    if (data.find(kDone) != std::string::npos &&
        data.size() <= kDone.size() + 2) {
      s.m_finished = !s.m_finish_reason.empty();
      continue;
    }
    const auto chunk = Json::parse(data, nullptr, false);
    if (!chunk.is_object()) {
      return false;
    }
    const auto choice = FirstChoice(chunk);
    const auto delta = ObjectOr(choice, "delta");
    const auto text = TextOr(delta, "content", "");
    const auto offset = static_cast<std::size_t>(
        NumberOr(chunk, "offset", static_cast<std::int64_t>(s.m_text.size())));
    s.m_tokens = NumberOr(chunk, "tokens", s.m_tokens + (text.empty() ? 0 : 1));
    s.m_id = TextOr(chunk, "id", s.m_id.c_str());
    s.m_model = TextOr(chunk, "model", s.m_model.c_str());
    s.m_finish_reason =
        TextOr(choice, "finish_reason", s.m_finish_reason.c_str());
    if (delta.contains("tool_calls") && delta["tool_calls"].is_array()) {
      AddToolCalls(delta["tool_calls"], s.m_tool_calls);
    }
    if (chunk.contains("usage") && chunk["usage"].is_object()) {
      s.m_usage = chunk["usage"];
    }
    if (!AddText(text, offset, s.m_tokens, s.m_sink, s.m_text)) {
      return false;
    }
  }
  return true;
}

auto CompletionStream::FeedWhole(std::string_view body) -> bool {
  auto& s = *m_state;
  const auto answer = Json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    return false;
  }
  const auto choice = FirstChoice(answer);
  const auto message = ObjectOr(choice, "message");
  s.m_id = TextOr(answer, "id", "");
  s.m_model = TextOr(answer, "model", "");
  s.m_finish_reason = TextOr(choice, "finish_reason", "stop");
  s.m_usage = ObjectOr(answer, "usage");
  if (message.contains("tool_calls") && message["tool_calls"].is_array()) {
    s.m_tool_calls = message["tool_calls"];
  }
  s.m_tokens = NumberOr(s.m_usage, "completion_tokens", 0);
  AddText(TextOr(message, "content", ""), 0, s.m_tokens, s.m_sink, s.m_text);
  s.m_finished = !choice.empty();
  return s.m_finished;
}

auto CompletionStream::Offset() const -> std::size_t {
  return m_state->m_text.size();
}

auto CompletionStream::Finished() const -> bool {
  return m_state->m_finished;
}

auto CompletionStream::Body() const -> std::string {
  const auto& s = *m_state;
  Json message = {{"role", "assistant"}, {"content", s.m_text}};
  if (!s.m_tool_calls.empty()) {
    message["tool_calls"] = s.m_tool_calls;
    if (s.m_text.empty()) {
      message["content"] = nullptr;
    }
  }
  const Json body = {{"id", s.m_id},
                     {"object", "chat.completion"},
                     {"model", s.m_model},
                     {"choices",
                      {{{"index", 0},
                        {"message", message},
                        {"finish_reason", s.m_finish_reason}}}},
                     {"usage", s.m_usage}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto CompletionStream::GetUsage() const -> Usage {
  const auto& s = *m_state;
  const auto details = ObjectOr(s.m_usage, "prompt_tokens_details");
  return {.m_prompt = Tokens(NumberOr(s.m_usage, "prompt_tokens", 0)),
          .m_cached = Tokens(NumberOr(details, "cached_tokens", 0)),
          .m_generated =
              Tokens(NumberOr(s.m_usage, "completion_tokens", s.m_tokens))};
}

}  // namespace dotterelshed::pvt
