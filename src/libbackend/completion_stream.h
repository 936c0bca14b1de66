#ifndef DOTTERELSHED_LIBBACKEND_COMPLETION_STREAM_H_
#define DOTTERELSHED_LIBBACKEND_COMPLETION_STREAM_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "dotterelshed/call.h"

/// @file
/// Puts a streamed chat completion together, across connections.

namespace dotterelshed::pvt {

/// Reads server-sent events of chat.completion chunks. Text that was had
/// before is skipped, text that would leave a hole is refused.
class CompletionStream {
 public:
  using TextSink = std::function<void(std::string_view text, Tokens generated)>;

  explicit CompletionStream(TextSink sink);
  ~CompletionStream();
  CompletionStream(const CompletionStream&) = delete;
  auto operator=(const CompletionStream&) -> CompletionStream& = delete;

  /// Starts on a new connection: drops a half-read event.
  auto Reconnect() -> void;

  /// Takes bytes as they come. @return false when the stream is unusable and
  /// must be asked for again from Offset()
  auto Feed(std::string_view bytes) -> bool;

  /// Takes an answer that was not streamed. @return false if it is malformed
  auto FeedWhole(std::string_view body) -> bool;

  /// Bytes of text so far: where a resumed stream has to go on.
  auto Offset() const -> std::size_t;
  auto Finished() const -> bool;

  /// The whole chat.completion object as JSON text.
  auto Body() const -> std::string;
  auto GetUsage() const -> Usage;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBBACKEND_COMPLETION_STREAM_H_
