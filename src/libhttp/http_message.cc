#include "dotterelshed/http_message.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>

#include "dotterelshed/http_status.h"

namespace dotterelshed {

namespace {

/// Fields of one connection, in lower case.
constexpr auto kHopByHop = std::to_array<std::string_view>(
    {"connection", "keep-alive", "proxy-connection", "proxy-authenticate",
     "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
     "expect", "content-length"});

auto Lower(char letter) -> char {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
}

auto Trim(std::string_view text) -> std::string_view {
  constexpr std::string_view kSpace = " \t";
  const auto first = text.find_first_not_of(kSpace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kSpace) - first + 1);
}

auto IsHopByHop(std::string_view name) -> bool {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view one) { return EqualsIgnoringCase(one, name); });
}

auto NamedByConnection(const HttpFields& fields, std::string_view name)
    -> bool {
  return std::any_of(fields.begin(), fields.end(),
                     [name](const HttpField& field) {
                       return EqualsIgnoringCase(field.m_name, "connection") &&
                              HasToken(field.m_value, name);
                     });
}

auto UsuallyHasBody(std::string_view method) -> bool {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

auto AppendFields(std::string& text, const HttpFields& fields) -> void {
  for (const auto& field : fields) {
    text += field.m_name;
    text += ": ";
    text += field.m_value;
    text += "\r\n";
  }
}

}  // namespace

auto EqualsIgnoringCase(std::string_view one, std::string_view other) -> bool {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](char a, char b) { return Lower(a) == Lower(b); });
}

auto FindField(const HttpFields& fields, std::string_view name)
    -> const std::string* {
  for (const auto& field : fields) {
    if (EqualsIgnoringCase(field.m_name, name)) {
      return &field.m_value;
    }
  }
  return nullptr;
}

auto FieldText(const HttpFields& fields, std::string_view name) -> std::string {
  const auto* value = FindField(fields, name);
  return value == nullptr ? std::string() : *value;
}

auto CountFields(const HttpFields& fields, std::string_view name) -> int {
  return static_cast<int>(std::count_if(
      fields.begin(), fields.end(), [name](const HttpField& field) {
        return EqualsIgnoringCase(field.m_name, name);
      }));
}

auto HasToken(std::string_view value, std::string_view token) -> bool {
  auto found = false;
  ForEachPart(value, [&found, token](std::string_view part) {
    found = found || EqualsIgnoringCase(Trim(part), token);
  });
  return found;
}

auto EndToEndFields(const HttpFields& fields) -> HttpFields {
  HttpFields result;
  result.reserve(fields.size());
  for (const auto& field : fields) {
    if (!IsHopByHop(field.m_name) && !NamedByConnection(fields, field.m_name)) {
      result.push_back(field);
    }
  }
  return result;
}

auto FormatRequest(std::string_view method,
                   std::string_view target,
                   const HttpFields& fields,
                   std::string_view body) -> std::string {
  auto text = fmt::format("{} {} HTTP/1.1\r\n", method, target);
  AppendFields(text, fields);
  if (!body.empty() || UsuallyHasBody(method)) {
    text += fmt::format("Content-Length: {}\r\n", body.size());
  }
  text += "\r\n";
  text += body;
  return text;
}

auto FormatResponseHead(int status,
                        std::string_view reason,
                        const HttpFields& fields) -> std::string {
  auto text = fmt::format("HTTP/1.1 {} {}\r\n", status,
                          reason.empty() ? ReasonPhrase(status) : reason);
  AppendFields(text, fields);
  text += "\r\n";
  return text;
}

auto FormatChunk(std::string_view bytes) -> std::string {
  auto text = fmt::format("{:x}\r\n", bytes.size());
  text += bytes;
  text += "\r\n";
  return text;
}

auto ReasonPhrase(int status) -> std::string_view {
  switch (status) {
    case kStatusOk:
      return "OK";
    case kStatusBadRequest:
      return "Bad Request";
    case kStatusUnauthorized:
      return "Unauthorized";
    case 402:
      return "Payment Required";
    case kStatusNotFound:
      return "Not Found";
    case kStatusTimeout:
      return "Request Timeout";
    case kStatusBodyTooLarge:
      return "Content Too Large";
    case kStatusHeaderTooLarge:
      return "Request Header Fields Too Large";
    case kStatusBadGateway:
      return "Bad Gateway";
    case kStatusUnavailable:
      return "Service Unavailable";
    case kStatusGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace dotterelshed
