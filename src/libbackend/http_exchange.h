#ifndef DOTTERELSHED_LIBBACKEND_HTTP_EXCHANGE_H_
#define DOTTERELSHED_LIBBACKEND_HTTP_EXCHANGE_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dotterelshed/units.h"

/// @file
/// One HTTP request on a connection of its own. A connection is never used
/// again, so one that has gone silent can't harm a later request.

namespace dotterelshed::pvt {

struct HttpRequest {
  /// "IP:port".
  std::string m_address;
  std::string m_method = "GET";
  std::string m_path;
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  /// Longest silence before the exchange counts as broken.
  Duration m_silence_timeout{0};
  std::chrono::steady_clock::time_point m_deadline;
  /// May be null.
  const std::atomic<bool>* m_cancelled = nullptr;
  /// Takes the body of a 2xx answer as it comes; false breaks the exchange.
  /// Without it the body is collected in HttpReply::m_body.
  std::function<bool(std::string_view)> m_on_bytes;
};

/// How an exchange ended.
enum class ExchangeEnd {
  kAnswered,   ///< A whole answer came.
  kNotSent,    ///< No connection was made, so nothing was sent.
  kBroken,     ///< It broke or went silent after connecting.
  kDeadline,   ///< Stopped at the deadline.
  kCancelled,  ///< Stopped by the cancel flag.
};

struct HttpReply {
  ExchangeEnd m_end = ExchangeEnd::kBroken;
  int m_status = 0;
  std::string m_content_type;
  /// The other side said that it is leaving and did not run the request.
  bool m_leaving = false;
  std::string m_body;
  /// Bytes of body received, also when they went to m_on_bytes.
  std::size_t m_received = 0;
};

auto Exchange(const HttpRequest& request) -> HttpReply;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBBACKEND_HTTP_EXCHANGE_H_
