#include "http_exchange.h"

#include <httplib.h>

#include <algorithm>
#include <cstdlib>

#include "exchange_watch.h"

namespace dotterelshed::pvt {

namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kLeavingHeader = "X-Leaving";

auto IsSuccess(int status) -> bool {
  return status >= 200 && status < 300;
}

/// The library's form of @p request. The answer goes to @p reply.
auto MakeLibraryRequest(const HttpRequest& request, HttpReply& reply)
    -> httplib::Request {
  httplib::Request out;
  out.method = request.m_method;
  out.path = request.m_path;
  out.body = request.m_body;
  for (const auto& [name, value] : request.m_headers) {
    out.set_header(name, value);
  }
  // Compressing small bodies costs more than sending them.
  out.set_header("Accept-Encoding", "identity");
  out.response_handler = [&reply](const httplib::Response& response) {
    reply.m_status = response.status;
    reply.m_leaving = response.has_header(kLeavingHeader);
    reply.m_content_type = response.get_header_value("Content-Type");
    return true;
  };
  out.content_receiver = [&request, &reply](const char* data,
                                            std::size_t length, std::uint64_t,
                                            std::uint64_t) {
    reply.m_received += length;
    if (request.m_on_bytes && IsSuccess(reply.m_status)) {
      return request.m_on_bytes({data, length});
    }
    reply.m_body.append(data, length);
    return true;
  };
  return out;
}

auto EndOf(StopReason reason, const httplib::Result& result) -> ExchangeEnd {
  if (result) {
    return ExchangeEnd::kAnswered;
  }
  // These come from connecting only, before a byte is sent.
  const auto error = result.error();
  if (error == httplib::Error::Connection ||
      error == httplib::Error::ConnectionTimeout ||
      error == httplib::Error::BindIPAddress) {
    return ExchangeEnd::kNotSent;
  }
  switch (reason) {
    case StopReason::kCancelled:
      return ExchangeEnd::kCancelled;
    case StopReason::kDeadline:
      return ExchangeEnd::kDeadline;
    case StopReason::kNone:
      break;
  }
  return ExchangeEnd::kBroken;
}

}  // namespace

auto Exchange(const HttpRequest& request) -> HttpReply {
  HttpReply reply;
  const auto colon = request.m_address.rfind(':');
  if (colon == std::string::npos) {
    reply.m_end = ExchangeEnd::kNotSent;
    return reply;
  }
  WatchedExchange watched(request.m_cancelled, request.m_deadline);
  httplib::Client client(request.m_address.substr(0, colon),
                         std::atoi(request.m_address.c_str() + colon + 1));
  const auto silence = std::max(request.m_silence_timeout, Duration(1));
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(silence);
  client.set_write_timeout(silence);
  client.set_keep_alive(false);
  client.set_tcp_nodelay(true);
  client.set_socket_options(
      [&watched](socket_t socket) { watched.SetSocket(socket); });
  const auto result = client.send(MakeLibraryRequest(request, reply));
  reply.m_end = EndOf(watched.Reason(), result);
  return reply;
}

}  // namespace dotterelshed::pvt
