// Memory and processor time of threads that each carry one open stream: they
// wait for a piece of text, then write it to a socket.
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <memory>
#include <mutex>
#include <thread>

#include "capacity_report.h"
#include "dotterelshed/error.h"

namespace dotterelshed::bench {
namespace {

constexpr std::size_t kPieceBytes = 200;
constexpr std::size_t kBufferBytes = 16384;
constexpr auto kPieces = 20;

/// One stream: a thread between a producer and a socket.
struct Stream {
  std::mutex m_mutex;
  std::condition_variable m_ready;
  int m_waiting = 0;
  bool m_stop = false;
  std::array<int, 2> m_sockets{-1, -1};
  std::thread m_thread;
};

auto Carry(Stream& stream) -> void {
  // As deep a stack as a library's request handler uses.
  std::array<char, kBufferBytes> buffer{};
  std::memset(buffer.data(), 'x', buffer.size());
  std::unique_lock lock(stream.m_mutex);
  while (true) {
    stream.m_ready.wait(
        lock, [&stream] { return stream.m_stop || stream.m_waiting > 0; });
    if (stream.m_waiting == 0) {
      return;
    }
    --stream.m_waiting;
    lock.unlock();
    const auto sent = send(stream.m_sockets[0], buffer.data(), kPieceBytes, 0);
    DOTTERELSHED_CHECK(sent == static_cast<ssize_t>(kPieceBytes));
    lock.lock();
  }
}

auto GivePiece(Stream& stream) -> void {
  {
    const std::lock_guard lock(stream.m_mutex);
    ++stream.m_waiting;
  }
  stream.m_ready.notify_one();
}

auto TakePiece(Stream& stream) -> void {
  std::array<char, kPieceBytes> buffer{};
  const auto got =
      recv(stream.m_sockets[1], buffer.data(), buffer.size(), MSG_WAITALL);
  DOTTERELSHED_CHECK(got == static_cast<ssize_t>(kPieceBytes));
}

auto Measure(int count) -> std::vector<std::string> {
  const auto before = ResidentBytes();
  std::vector<std::unique_ptr<Stream>> streams;
  for (auto i = 0; i < count; ++i) {
    auto stream = std::make_unique<Stream>();
    const auto made =
        socketpair(AF_UNIX, SOCK_STREAM, 0, stream->m_sockets.data());
    DOTTERELSHED_CHECK(made == 0);
    stream->m_thread = std::thread([s = stream.get()] { Carry(*s); });
    streams.push_back(std::move(stream));
  }
  for (const auto& stream : streams) {
    GivePiece(*stream);
    TakePiece(*stream);
  }
  const auto memory = ResidentBytes() - before;
  const auto begin = ProcessorTime();
  for (auto piece = 0; piece < kPieces; ++piece) {
    for (const auto& stream : streams) {
      GivePiece(*stream);
    }
    for (const auto& stream : streams) {
      TakePiece(*stream);
    }
  }
  const auto spent = ToSeconds(ProcessorTime() - begin);
  for (const auto& stream : streams) {
    {
      const std::lock_guard lock(stream->m_mutex);
      stream->m_stop = true;
    }
    stream->m_ready.notify_one();
    stream->m_thread.join();
    close(stream->m_sockets[0]);
    close(stream->m_sockets[1]);
  }
  return {std::to_string(count),
          Fixed(static_cast<double>(memory) / count / 1024, 1),
          Fixed(spent * 1e6 / (static_cast<double>(count) * kPieces), 2)};
}

auto Run() -> void {
  std::vector<std::vector<std::string>> rows;
  for (const auto count : {100, 400, 800, 1600}) {
    rows.push_back(Measure(count));
  }
  PrintMarkdown("A thread per open stream",
                {"streams", "resident KiB/stream", "us/piece of text"}, rows);
}

}  // namespace
}  // namespace dotterelshed::bench

auto main() -> int {
  dotterelshed::bench::Run();
  return 0;
}
