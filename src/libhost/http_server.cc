#include "http_server.h"

#include <httplib.h>
#include <sys/socket.h>

#include <utility>

#include "answer_writer.h"
#include "worker_threads.h"

namespace dotterelshed::pvt {

namespace {

/// Threads kept free for operators when all caller threads are in use.
constexpr std::size_t kAdminThreads = 16;
constexpr auto kKeepAlive = std::chrono::seconds(5);
/// Requests on one connection before it is closed.
constexpr std::size_t kRequestsPerConnection = 100000;
/// Connections that wait to be accepted. The library's own number is 5, too
/// few for a burst of callers.
constexpr int kListenBacklog = 1024;

/// Gives cpp-httplib threads that are started when needed.
class ServerThreads final : public httplib::TaskQueue {
 public:
  explicit ServerThreads(std::size_t count) : m_threads(count) {}
  auto enqueue(std::function<void()> task) -> void override {
    m_threads.Run(std::move(task));
  }
  auto shutdown() -> void override { m_threads.Finish(); }

 private:
  WorkerThreads m_threads;
};

auto SplitAddress(const std::string& address) -> std::pair<std::string, int> {
  const auto colon = address.rfind(':');
  return {address.substr(0, colon), std::stoi(address.substr(colon + 1))};
}

/// Answers what no route has answered, with a typed body.
auto WriteError(const httplib::Request& /*request*/,
                httplib::Response& response) -> void {
  if (response.body.empty()) {
    response.set_content(
        ErrorBody(ReasonCode::kBadRequest, OutcomeKind::kNotRun,
                  "status " + std::to_string(response.status), RequestId()),
        "application/json");
  }
}

}  // namespace

auto MakeHttpServer(const Settings& settings)
    -> std::unique_ptr<httplib::Server> {
  auto server = std::make_unique<httplib::Server>();
  const auto threads =
      static_cast<std::size_t>(settings.m_max_open_requests) + kAdminThreads;
  server->new_task_queue = [threads] { return new ServerThreads(threads); };
  server->set_payload_max_length(
      static_cast<std::size_t>(settings.m_max_body.value()));
  server->set_keep_alive_timeout(kKeepAlive.count());
  server->set_keep_alive_max_count(kRequestsPerConnection);
  server->set_tcp_nodelay(true);
  server->set_error_handler(&WriteError);
  return server;
}

auto BindHttpServer(httplib::Server& server, const std::string& address)
    -> Result<std::string> {
  auto listener = socket_t{-1};
  server.set_socket_options([&listener](socket_t sock) {
    const int yes = 1;
    setsockopt(sock, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    listener = sock;
  });
  const auto [host, port] = SplitAddress(address);
  auto bound = port;
  if (port == 0) {
    bound = server.bind_to_any_port(host);
  } else if (!server.bind_to_port(host, port)) {
    bound = -1;
  }
  if (bound < 0) {
    return Fail(ErrorCode::kUnavailable, "can't listen for callers", address);
  }
  ::listen(listener, kListenBacklog);
  return host + ":" + std::to_string(bound);
}

}  // namespace dotterelshed::pvt
