#include "standin.h"

#include <sys/socket.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <utility>

namespace dotterelshed::standins {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kIdleConnectionSeconds = 5;
constexpr int kMaxRequestsPerConnection = 1000000;
constexpr auto kPollInterval = std::chrono::milliseconds(20);
constexpr std::size_t kCutAnswerBytes = 64;

auto StopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Writes beside the file and renames, so that a reader never sees half.
auto WriteReadyFile(const std::string& path, int port) -> bool {
  if (path.empty()) {
    return true;
  }
  const auto part = path + ".part";
  {
    std::ofstream out(part);
    out << Json{{"http", "127.0.0.1:" + std::to_string(port)}} << "\n";
    if (!out.good()) {
      return false;
    }
  }
  return std::rename(part.c_str(), path.c_str()) == 0;
}

auto BindPort(httplib::Server& server, int port) -> int {
  if (port == 0) {
    return server.bind_to_any_port("127.0.0.1");
  }
  return server.bind_to_port("127.0.0.1", port) ? port : -1;
}

}  // namespace

auto RunLog::Append(const Json& entry) -> void {
  if (m_path.empty()) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  std::ofstream out(m_path, std::ios::app);
  out << entry.dump() << "\n" << std::flush;
}

auto BlockStopSignals() -> void {
  const auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

auto Serve(httplib::Server& server, const StandinOptions& options) -> int {
  auto listener = socket_t{-1};
  server.new_task_queue = [&options] {
    return new httplib::ThreadPool(options.m_threads);
  };
  server.set_tcp_nodelay(true);
  server.set_keep_alive_timeout(kIdleConnectionSeconds);
  server.set_keep_alive_max_count(kMaxRequestsPerConnection);
  server.set_socket_options([&listener](socket_t sock) {
    const int yes = 1;
    setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    listener = sock;
  });
  const auto port = BindPort(server, options.m_port);
  if (port < 0) {
    std::fprintf(stderr, "can't bind port %d\n", options.m_port);
    return EXIT_FAILURE;
  }
  // The library listens with a backlog of 5, too short for bursts.
  ::listen(listener, kListenBacklog);
  std::thread([&server] { server.listen_after_bind(); }).detach();
  if (!WriteReadyFile(options.m_ready_file, port)) {
    std::fprintf(stderr, "can't write %s\n", options.m_ready_file.c_str());
    std::_Exit(EXIT_FAILURE);
  }
  const auto signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  std::_Exit(EXIT_SUCCESS);
}

auto SendJson(httplib::Response& response, int status, const Json& body)
    -> void {
  response.status = status;
  response.set_content(body.dump(), "application/json");
}

auto ParseObject(const std::string& body) -> Json {
  auto parsed = Json::parse(body, nullptr, false);
  return parsed.is_object() ? parsed : Json::object();
}

auto FindOption(int argc,
                char** argv,
                const std::string& name,
                const std::string& fallback) -> std::string {
  for (int i = 1; i + 1 < argc; ++i) {
    if (name == argv[i]) {
      return argv[i + 1];
    }
  }
  return fallback;
}

auto HasFlag(int argc, char** argv, const std::string& name) -> bool {
  for (int i = 1; i < argc; ++i) {
    if (name == argv[i]) {
      return true;
    }
  }
  return false;
}

auto ParseStandinOptions(int argc, char** argv) -> StandinOptions {
  return {.m_ready_file = FindOption(argc, argv, "--ready-file", ""),
          .m_run_log = FindOption(argc, argv, "--run-log", ""),
          .m_port = std::stoi(FindOption(argc, argv, "--port", "0")),
          .m_threads = std::stoi(FindOption(argc, argv, "--threads", "256"))};
}

auto CutAnswer(httplib::Response& response) -> void {
  response.set_content_provider(
      kCutAnswerBytes, "application/json",
      [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

auto HangAnswer(httplib::Response& response) -> void {
  response.set_chunked_content_provider(
      "application/json", [](std::size_t, httplib::DataSink& sink) {
        WaitUntilClosed(sink);
        return false;
      });
}

auto WaitUntilClosed(const httplib::DataSink& sink) -> void {
  while (sink.is_writable()) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace dotterelshed::standins
