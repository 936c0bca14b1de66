#ifndef DOTTERELSHED_STDOUT_SINK_H_
#define DOTTERELSHED_STDOUT_SINK_H_

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

/// @file
/// A log sink that writes to a descriptor without ever waiting for its reader.

namespace dotterelshed::pvt {

class StdoutSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit StdoutSink(int descriptor) : m_descriptor(descriptor) {}

  /// Lines left out since the last call because the buffer was full.
  auto TakeDropped() -> std::int64_t;

 protected:
  auto sink_it_(const spdlog::details::log_msg& message) -> void override;
  auto flush_() -> void override;

 private:
  auto WriteReady() -> void;

  int m_descriptor;
  std::string m_buffer;
  std::int64_t m_dropped = 0;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_STDOUT_SINK_H_
