#include "dotterelshed/http_parser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <optional>
#include <utility>

namespace dotterelshed {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCodeIn = beast::error_code;

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kSwitchingProtocols = 101;

auto ToView(beast::string_view text) -> std::string_view {
  return {text.data(), text.size()};
}

auto ToState(const ErrorCodeIn& error) -> ParseState {
  if (error == http::error::header_limit) {
    return ParseState::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return ParseState::kBodyTooLarge;
  }
  return ParseState::kMalformed;
}

/// Only one plain length, or "chunked" alone, is framing that every recipient
/// reads alike. A length beside chunks is refused by the library.
auto HasDoubtfulFraming(const HttpFields& fields) -> bool {
  const auto lengths = CountFields(fields, "content-length");
  const auto codings = CountFields(fields, "transfer-encoding");
  if (lengths > 1 || codings > 1) {
    return true;
  }
  const auto* coding = FindField(fields, "transfer-encoding");
  return coding != nullptr && !EqualsIgnoringCase(*coding, "chunked");
}

/// Returns false for statuses that no answer to our requests has: Beast takes
/// any three digits, and no request asks to switch protocols.
auto IsAnswerStatus(int status) -> bool {
  return status >= kFirstStatus && status != kSwitchingProtocols;
}

/// Beast's grammar with callbacks; collects the head, passes the body on.
template <bool IsRequest>
class GrammarParser : public http::basic_parser<IsRequest> {
 public:
  using Base = http::basic_parser<IsRequest>;

  std::function<void(std::string_view)> m_on_body;
  std::function<void(std::optional<std::uint64_t>)> m_on_header;
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  std::string m_reason;
  int m_version = 0;
  HttpFields m_fields;
  /// The head is no usable one. The library goes on to the body all the same.
  bool m_rejected = false;

 private:
  auto on_request_impl(http::verb /*method*/,
                       beast::string_view method,
                       beast::string_view target,
                       int version,
                       ErrorCodeIn& error) -> void override {
    m_method = ToView(method);
    m_target = ToView(target);
    m_version = version;
    error = {};
  }
  auto on_response_impl(int code,
                        beast::string_view reason,
                        int version,
                        ErrorCodeIn& error) -> void override {
    m_status = code;
    m_reason = ToView(reason);
    m_version = version;
    error = {};
  }
  auto on_field_impl(http::field /*field*/,
                     beast::string_view name,
                     beast::string_view value,
                     ErrorCodeIn& error) -> void override {
    m_fields.push_back({std::string(ToView(name)), std::string(ToView(value))});
    error = {};
  }
  auto on_header_impl(ErrorCodeIn& error) -> void override {
    m_rejected = HasDoubtfulFraming(m_fields) ||
                 (!IsRequest && !IsAnswerStatus(m_status));
    if (m_rejected) {
      error = make_error_code(http::error::bad_value);
      return;
    }
    std::optional<std::uint64_t> length;
    if (const auto stated = this->content_length()) {
      length = *stated;
    }
    m_on_header(length);
    error = {};
  }
  auto on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                         ErrorCodeIn& error) -> void override {
    error = {};
  }
  auto on_body_impl(beast::string_view body, ErrorCodeIn& error)
      -> std::size_t override {
    if (!m_rejected) {
      m_on_body(ToView(body));
    }
    error = {};
    return body.size();
  }
  auto on_chunk_header_impl(std::uint64_t /*size*/,
                            beast::string_view /*extensions*/,
                            ErrorCodeIn& error) -> void override {
    error = {};
  }
  auto on_chunk_body_impl(std::uint64_t /*remain*/,
                          beast::string_view body,
                          ErrorCodeIn& error) -> std::size_t override {
    if (!body.empty() && !m_rejected) {
      m_on_body(ToView(body));
    }
    error = {};
    return body.size();
  }
  auto on_finish_impl(ErrorCodeIn& error) -> void override { error = {}; }
};

/// Feeds a grammar parser and keeps what it couldn't take yet.
template <bool IsRequest>
class Feeder {
 public:
  explicit Feeder(const ParserLimits& limits) { Reset(limits); }

  auto Reset(const ParserLimits& limits) -> void {
    m_limits = limits;
    m_parser.emplace();
    m_parser->header_limit(limits.m_max_header_bytes);
    m_parser->body_limit(limits.m_max_body_bytes);
    m_parser->eager(true);
    m_kept.clear();
    m_state = ParseState::kHead;
  }

  /// Returns how many of @p bytes were taken; all, unless the message ended.
  auto Feed(std::string_view bytes) -> std::size_t {
    if (bytes.empty() || Ended()) {
      return 0;
    }
    m_started = true;
    const auto kept_before = m_kept.size();
    std::string joined;
    auto input = bytes;
    if (kept_before > 0) {
      joined = std::move(m_kept) + std::string(bytes);
      m_kept.clear();
      input = joined;
    }
    const auto used = Put(input);
    if (m_state == ParseState::kDone) {
      return used - kept_before;
    }
    m_kept = input.substr(used);
    if (m_kept.size() > m_limits.m_max_header_bytes && !Ended()) {
      m_state = ParseState::kHeaderTooLarge;
    }
    return bytes.size();
  }

  auto Ended() const -> bool {
    return m_state != ParseState::kHead && m_state != ParseState::kBody;
  }

  std::optional<GrammarParser<IsRequest>> m_parser;
  ParseState m_state = ParseState::kHead;
  bool m_started = false;

 private:
  auto Put(std::string_view input) -> std::size_t {
    std::size_t used = 0;
    while (used < input.size() && !m_parser->is_done()) {
      ErrorCodeIn error;
      const auto rest = input.substr(used);
      used +=
          m_parser->put(boost::asio::buffer(rest.data(), rest.size()), error);
      if (m_parser->m_rejected) {
        m_state = ParseState::kMalformed;
        return used;
      }
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        m_state = ToState(error);
        return used;
      }
    }
    if (m_parser->is_done()) {
      m_state = ParseState::kDone;
    } else if (m_parser->is_header_done()) {
      m_state = ParseState::kBody;
    }
    return used;
  }

  ParserLimits m_limits;
  std::string m_kept;
};

}  // namespace

struct RequestParser::Impl {
  explicit Impl(const ParserLimits& limits) : m_feeder(limits) {
    m_feeder.m_parser->m_on_header = [this](std::optional<std::uint64_t>) {
      auto& parser = *m_feeder.m_parser;
      m_head.m_method = std::move(parser.m_method);
      m_head.m_target = std::move(parser.m_target);
      m_head.m_fields = std::move(parser.m_fields);
      m_head.m_keep_alive = parser.keep_alive();
    };
    m_feeder.m_parser->m_on_body = [this](std::string_view bytes) {
      m_body += bytes;
    };
  }

  Feeder<true> m_feeder;
  RequestHead m_head;
  std::string m_body;
};

RequestParser::RequestParser(const ParserLimits& limits)
    : m_impl(std::make_unique<Impl>(limits)) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
auto RequestParser::operator=(RequestParser&&) noexcept
    -> RequestParser& = default;

auto RequestParser::Feed(std::string_view bytes) -> std::size_t {
  return m_impl->m_feeder.Feed(bytes);
}

auto RequestParser::state() const -> ParseState {
  return m_impl->m_feeder.m_state;
}

auto RequestParser::started() const -> bool {
  return m_impl->m_feeder.m_started;
}

auto RequestParser::expects_continue() const -> bool {
  const auto* expect = FindField(m_impl->m_head.m_fields, "expect");
  return state() == ParseState::kBody && expect != nullptr &&
         m_impl->m_body.empty() && EqualsIgnoringCase(*expect, "100-continue");
}

auto RequestParser::head() -> RequestHead& {
  return m_impl->m_head;
}

auto RequestParser::body() -> std::string& {
  return m_impl->m_body;
}

struct ResponseParser::Impl {
  Impl(const ParserLimits& limits, bool bodyless, ResponseSink sink)
      : m_limits(limits),
        m_bodyless(bodyless),
        m_sink(std::move(sink)),
        m_feeder(limits) {
    Prepare();
  }

  auto Prepare() -> void {
    auto& parser = *m_feeder.m_parser;
    parser.skip(m_bodyless);
    parser.m_on_header = [this](std::optional<std::uint64_t> length) {
      OnHeader(length);
    };
    parser.m_on_body = [this](std::string_view bytes) {
      if (!m_interim) {
        m_sink.m_on_body(bytes);
      }
    };
  }

  /// Begins anew after an interim answer, unless too many of them came.
  auto NextAnswer(std::size_t interim_bytes) -> bool {
    m_interim = false;
    m_interim_bytes += interim_bytes;
    if (m_interim_bytes > m_limits.m_max_header_bytes) {
      m_feeder.m_state = ParseState::kHeaderTooLarge;
      return false;
    }
    m_feeder.Reset(m_limits);
    Prepare();
    return true;
  }

  auto OnHeader(std::optional<std::uint64_t> length) -> void {
    auto& parser = *m_feeder.m_parser;
    m_interim = parser.m_status < kFirstFinalStatus;
    if (m_interim) {
      return;
    }
    ResponseHead head;
    head.m_status = parser.m_status;
    head.m_reason = std::move(parser.m_reason);
    head.m_fields = std::move(parser.m_fields);
    head.m_keep_alive = parser.keep_alive();
    head.m_length = length;
    m_sink.m_on_head(head);
  }

  ParserLimits m_limits;
  bool m_bodyless;
  ResponseSink m_sink;
  Feeder<false> m_feeder;
  bool m_interim = false;
  /// Bytes of interim answers so far.
  std::size_t m_interim_bytes = 0;
};

ResponseParser::ResponseParser(const ParserLimits& limits,
                               bool bodyless,
                               ResponseSink sink)
    : m_impl(std::make_unique<Impl>(limits, bodyless, std::move(sink))) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&&) noexcept = default;
auto ResponseParser::operator=(ResponseParser&&) noexcept
    -> ResponseParser& = default;

auto ResponseParser::Feed(std::string_view bytes) -> std::size_t {
  std::size_t used = 0;
  auto more = true;
  while (more) {
    const auto taken = m_impl->m_feeder.Feed(bytes.substr(used));
    used += taken;
    const auto interim_over = m_impl->m_interim && state() == ParseState::kDone;
    more = interim_over && m_impl->NextAnswer(taken) && used < bytes.size();
  }
  return used;
}

auto ResponseParser::FeedEnd() -> void {
  auto& feeder = m_impl->m_feeder;
  if (feeder.Ended()) {
    return;
  }
  auto& parser = *feeder.m_parser;
  if (feeder.m_state == ParseState::kBody && parser.need_eof()) {
    feeder.m_state = ParseState::kDone;
    return;
  }
  feeder.m_state = ParseState::kMalformed;
}

auto ResponseParser::state() const -> ParseState {
  return m_impl->m_feeder.m_state;
}

auto ResponseParser::started() const -> bool {
  return m_impl->m_feeder.m_started;
}

auto ResponseParser::keep_alive() const -> bool {
  const auto& parser = *m_impl->m_feeder.m_parser;
  return parser.is_header_done() && parser.keep_alive() && !parser.need_eof();
}

}  // namespace dotterelshed
