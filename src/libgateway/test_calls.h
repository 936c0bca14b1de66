#ifndef DOTTERELSHED_TEST_CALLS_H_
#define DOTTERELSHED_TEST_CALLS_H_

#include <string>

#include "test_environment.h"

/// @file
/// Requests that tests send, and parts of endpoints' answers.

namespace dotterelshed {

/// An idempotent call.
inline const std::string kSafeCall =
    "GET /safe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\n"
    "Deadline-Ms: 3000\r\n\r\n";

/// A turn of the program p.
/// @param most  maximum number of tokens that it generates.
inline auto MakeTurn(const std::string& id, int budget, int most)
    -> std::string {
  return "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
         "\r\nProgram-Id: p\r\nSession-Id: p\r\nToken-Budget: " +
         std::to_string(budget) + "\r\nToken-Counts: 100," +
         std::to_string(most) + "\r\nContent-Length: 0\r\n\r\n";
}

inline auto MakeEvent(int id) -> std::string {
  return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

inline auto ChunkedHead(const ScriptedEndpoint::Request& request)
    -> std::string {
  return request.Head(200, "Transfer-Encoding: chunked\r\n");
}

/// Events from @p first to @p last as chunks.
inline auto Chunks(int first, int last) -> std::string {
  std::string text;
  for (int id = first; id <= last; ++id) {
    text += FormatChunk(MakeEvent(id));
  }
  return text;
}

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TEST_CALLS_H_
