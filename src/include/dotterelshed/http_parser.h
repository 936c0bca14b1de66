#ifndef DOTTERELSHED_HTTP_PARSER_H_
#define DOTTERELSHED_HTTP_PARSER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "dotterelshed/http_message.h"

/// @file
/// Incremental HTTP/1.1 parsers for one message at a time. Bytes go in as they
/// arrive from a connection; what lies behind the end of the message is left to
/// the caller. The grammar is Boost.Beast's, kept behind this header.
///
/// @code
///   RequestParser parser({.m_max_header_bytes = 16384});
///   const auto used = parser.Feed(bytes);
///   if (parser.state() == ParseState::kDone) { ... }
/// @endcode

namespace dotterelshed {

enum class ParseState {
  kHead,            ///< The head isn't complete yet.
  kBody,            ///< The head is complete, the body isn't.
  kDone,            ///< The message is complete.
  kMalformed,       ///< The bytes are no HTTP/1.1 message.
  kHeaderTooLarge,  ///< The head exceeds its limit.
  kBodyTooLarge,    ///< The body exceeds its limit.
};

struct ParserLimits {
  std::uint32_t m_max_header_bytes = 16384;
  std::uint64_t m_max_body_bytes = 4194304;

  auto operator==(const ParserLimits&) const -> bool = default;
};

/// Parses one request and keeps its whole body.
class RequestParser {
 public:
  explicit RequestParser(const ParserLimits& limits);
  ~RequestParser();
  RequestParser(RequestParser&&) noexcept;
  auto operator=(RequestParser&&) noexcept -> RequestParser&;

  /// Takes bytes and says how many of them belong to the message. An incomplete
  /// head is kept inside, so that all bytes count as taken until it is whole.
  auto Feed(std::string_view bytes) -> std::size_t;

  auto state() const -> ParseState;
  /// True once a byte of the message has been taken.
  auto started() const -> bool;
  /// True when the head asks for 100 Continue and the body hasn't begun.
  auto expects_continue() const -> bool;
  /// Valid once the head is complete.
  auto head() -> RequestHead&;
  auto body() -> std::string&;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Where a ResponseParser reports. Both are called from within Feed.
struct ResponseSink {
  std::function<void(ResponseHead&)> m_on_head;
  std::function<void(std::string_view)> m_on_body;
};

/// Parses one response and hands its parts on as they come. Interim (1xx)
/// responses are passed over.
class ResponseParser {
 public:
  /// @param bodyless  true when the request was a HEAD.
  ResponseParser(const ParserLimits& limits, bool bodyless, ResponseSink sink);
  ~ResponseParser();
  ResponseParser(ResponseParser&&) noexcept;
  auto operator=(ResponseParser&&) noexcept -> ResponseParser&;

  auto Feed(std::string_view bytes) -> std::size_t;
  /// The connection ended in order. Completes an answer without length; any
  /// other unfinished message becomes malformed.
  auto FeedEnd() -> void;

  auto state() const -> ParseState;
  auto started() const -> bool;
  /// True when the connection may be used again after this answer.
  auto keep_alive() const -> bool;

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_HTTP_PARSER_H_
