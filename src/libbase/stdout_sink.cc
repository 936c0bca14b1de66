#include "stdout_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace dotterelshed::pvt {

namespace {

constexpr std::size_t kMaxBufferedBytes = 262144;
/// Written at once from this size on; smaller amounts wait for a flush.
constexpr std::size_t kWriteBytes = 8192;

}  // namespace

auto StdoutSink::TakeDropped() -> std::int64_t {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(m_dropped, 0);
}

auto StdoutSink::sink_it_(const spdlog::details::log_msg& message) -> void {
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (m_buffer.size() + line.size() > kMaxBufferedBytes) {
    ++m_dropped;
    return;
  }
  m_buffer.append(line.data(), line.size());
  if (m_buffer.size() >= kWriteBytes) {
    WriteReady();
  }
}

auto StdoutSink::flush_() -> void {
  WriteReady();
}

auto StdoutSink::WriteReady() -> void {
  while (!m_buffer.empty()) {
    pollfd ready{.fd = m_descriptor, .events = POLLOUT, .revents = 0};
    if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
      return;
    }
    // A pipe that is ready takes this much without waiting.
    const auto size = std::min<std::size_t>(m_buffer.size(), PIPE_BUF);
    const auto written = write(m_descriptor, m_buffer.data(), size);
    if (written <= 0) {
      return;
    }
    m_buffer.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace dotterelshed::pvt
