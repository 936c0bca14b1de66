#ifndef DOTTERELSHED_HTTP_MESSAGE_H_
#define DOTTERELSHED_HTTP_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Heads of HTTP/1.1 messages, as the parsers of http_parser.h give them and
/// as the connections send them.

namespace dotterelshed {

struct HttpField {
  std::string m_name;
  std::string m_value;
};

/// Header fields in the order of the message.
using HttpFields = std::vector<HttpField>;

/// What a caller asks for.
struct RequestHead {
  std::string m_method;
  /// Path and query as they were sent.
  std::string m_target;
  HttpFields m_fields;
  /// False when the sender wants the connection closed after the answer.
  bool m_keep_alive = true;
};

/// What an endpoint or the platform answers.
struct ResponseHead {
  int m_status = 0;
  std::string m_reason;
  HttpFields m_fields;
  bool m_keep_alive = true;
  /// Length of the body if the answer states it; chunked and close-delimited
  /// answers have none.
  std::optional<std::uint64_t> m_length;
};

/// Compares header names and tokens, which ignore case.
auto EqualsIgnoringCase(std::string_view one, std::string_view other) -> bool;

/// The value of the first field of that name; nullptr if there is none.
auto FindField(const HttpFields& fields, std::string_view name)
    -> const std::string*;

/// The value of the first field of that name; empty if there is none.
auto FieldText(const HttpFields& fields, std::string_view name) -> std::string;

/// Calls @p take with each part of a comma-separated value.
template <typename Take>
auto ForEachPart(std::string_view value, Take take) -> void {
  while (!value.empty()) {
    const auto comma = value.find(',');
    take(value.substr(0, comma));
    if (comma == std::string_view::npos) {
      return;
    }
    value.remove_prefix(comma + 1);
  }
}

/// Number of fields of that name.
auto CountFields(const HttpFields& fields, std::string_view name) -> int;

/// True when the comma-separated @p value holds @p token, in any case.
auto HasToken(std::string_view value, std::string_view token) -> bool;

/// The fields that may be passed on: those that concern only one connection
/// (RFC 9110 section 7.6.1) and those that Connection names are left out, as is
/// Content-Length, which the sender writes anew.
auto EndToEndFields(const HttpFields& fields) -> HttpFields;

/// A request ready to be sent, its body framed by Content-Length. A request
/// without a body gets no Content-Length unless its method usually has one.
auto FormatRequest(std::string_view method,
                   std::string_view target,
                   const HttpFields& fields,
                   std::string_view body) -> std::string;

/// Status line and fields, up to and with the empty line.
auto FormatResponseHead(int status,
                        std::string_view reason,
                        const HttpFields& fields) -> std::string;

/// One chunk of a chunked body; never empty, since an empty chunk ends it.
auto FormatChunk(std::string_view bytes) -> std::string;

/// The chunk that ends a chunked body.
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// The usual reason phrase of a status.
auto ReasonPhrase(int status) -> std::string_view;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HTTP_MESSAGE_H_
