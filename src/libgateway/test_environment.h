#ifndef DOTTERELSHED_TEST_ENVIRONMENT_H_
#define DOTTERELSHED_TEST_ENVIRONMENT_H_

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/http_parser.h"
#include "dotterelshed/log_events.h"
#include "dotterelshed/steady_time.h"
#include "entry_host.h"
#include "history/disk_host.h"
#include "lead/lead_messages.h"
#include "test_store.h"

/// @file
/// Test environment for entry hosts: a store, endpoints whose answers the test
/// defines, and callers that record all received bytes. Everything runs on
/// loopback in one event loop.

namespace dotterelshed {

inline auto Loopback() -> TcpAddress {
  return {boost::asio::ip::address_v4::loopback(), 0};
}

/// Accepts connections and passes each request to the test's handler.
class ScriptedEndpoint {
 public:
  struct Request {
    std::shared_ptr<ByteStream> m_stream;
    RequestHead m_head;
    std::string m_body;
    /// Sequence number of the request at this endpoint, from 1.
    int m_number = 0;

    auto Field(std::string_view name) const -> std::string {
      return FieldText(m_head.m_fields, name);
    }
    /// Status line and the fields that every endpoint sends.
    auto Head(int status, const std::string& more) const -> std::string {
      return "HTTP/1.1 " + std::to_string(status) +
             " X\r\nRequest-Id: " + Field("request-id") +
             "\r\nResponse-Signature: sig\r\n" + more + "\r\n";
    }
    auto Complete(const std::string& body) const -> std::string {
      return Head(200,
                  "Content-Length: " + std::to_string(body.size()) + "\r\n") +
             body;
    }
  };
  using Handler = std::function<void(const Request&)>;

  ScriptedEndpoint(EventLoop& loop, Handler handler)
      : m_acceptor(loop, Loopback()),
        m_address(m_acceptor.local_endpoint()),
        m_handler(std::move(handler)) {
    Accept();
  }

  auto address() const -> TcpAddress { return m_address; }
  /// Simulates the end of the process: stops listening and closes all
  /// connections.
  auto Crash() -> void {
    m_acceptor.close();
    for (const auto& connection : m_connections) {
      connection->m_stream->Close();
    }
  }
  /// Listens again at the same address.
  auto Restart() -> void {
    m_acceptor.open(m_address.protocol());
    m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    m_acceptor.bind(m_address);
    m_acceptor.listen();
    Accept();
  }
  auto running() const -> bool { return m_acceptor.is_open(); }
  auto requests() const -> int { return m_requests; }
  /// Number of connections that were made.
  auto connections() const -> std::size_t { return m_connections.size(); }
  /// Number of connections that the host has closed.
  auto ended() const -> int { return m_ended; }

 private:
  struct Connection {
    std::shared_ptr<ByteStream> m_stream;
    RequestParser m_parser{{}};
  };

  auto Accept() -> void {
    m_acceptor.async_accept([this](const boost::system::error_code& error,
                                   TcpSocket socket) {
      if (error) {
        return;
      }
      auto connection = std::make_shared<Connection>();
      connection->m_stream = std::make_shared<ByteStream>(std::move(socket));
      m_connections.push_back(connection);
      connection->m_stream->Start(
          {.m_on_bytes = [this, raw = connection.get()](
                             std::string_view bytes) { Feed(*raw, bytes); },
           .m_on_end = [this](StreamEnd /*end*/) { ++m_ended; },
           .m_on_drained = {}});
      Accept();
    });
  }

  auto Feed(Connection& connection, std::string_view bytes) -> void {
    while (!bytes.empty()) {
      bytes.remove_prefix(connection.m_parser.Feed(bytes));
      if (connection.m_parser.state() != ParseState::kDone) {
        return;
      }
      const Request request{connection.m_stream, connection.m_parser.head(),
                            connection.m_parser.body(), ++m_requests};
      connection.m_parser = RequestParser({});
      m_handler(request);
    }
  }

  boost::asio::ip::tcp::acceptor m_acceptor;
  TcpAddress m_address;
  Handler m_handler;
  std::vector<std::shared_ptr<Connection>> m_connections;
  int m_requests = 0;
  int m_ended = 0;
};

/// A client connection to a host; records what it receives.
struct TestCaller {
  std::shared_ptr<ByteStream> m_stream;
  std::string m_got;
  bool m_ended = false;

  /// Status of the first answer; 0 before it arrives.
  auto Status() const -> int {
    constexpr std::string_view kStart = "HTTP/1.1 ";
    return m_got.starts_with(kStart) && m_got.size() > kStart.size() + 3
               ? std::stoi(m_got.substr(kStart.size(), 3))
               : 0;
  }
  /// Body of the first answer, if it is complete.
  auto Body() const -> std::optional<std::string> {
    std::string body;
    ResponseParser parser(
        {}, false,
        {.m_on_head = [](ResponseHead&) {},
         .m_on_body = [&body](std::string_view bytes) { body += bytes; }});
    parser.Feed(m_got);
    if (m_ended) {
      parser.FeedEnd();
    }
    return parser.state() == ParseState::kDone ? std::optional(body)
                                               : std::nullopt;
  }
};

/// First turn of a program that may generate 100 tokens in all.
inline const std::string kTurnRequest =
    "POST /turn/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\n"
    "Program-Id: p\r\nSession-Id: p\r\nToken-Budget: 100\r\n"
    "Token-Counts: 100,10\r\nContent-Length: 0\r\n\r\n";

/// Answers a request with a short body.
inline auto AnswerPlain(const ScriptedEndpoint::Request& request) -> void {
  request.m_stream->Write(request.Complete("x"));
}

/// Answers a turn with one event.
inline auto AnswerTurn(const ScriptedEndpoint::Request& request) -> void {
  request.m_stream->Write(request.Complete("id: 1\ndata: t\n\n"));
}

class TestEnvironment {
 public:
  TestEnvironment() : m_store(m_loop) {
    REQUIRE(StartLogging({.m_level = LogLevel::kError}));
    REQUIRE(m_store.Listen(Loopback()));
    m_store.Put("config", "main", nlohmann::json::parse(R"({"version":1,
      "routes":[
       {"name":"safe","host":"desk","pathPrefix":"/safe/","kind":"safe",
        "service":"s","timeoutMs":4000},
       {"name":"unsafe","host":"desk","pathPrefix":"/unsafe/","kind":"unsafe",
        "service":"s","timeoutMs":4000},
       {"name":"turn","host":"desk","pathPrefix":"/turn/","kind":"stream",
        "service":"s","timeoutMs":4000,"resumable":true}],
      "services":[{"name":"s","engine":{"slots":4,"tokensPerEvent":3}}],
      "limits":{"headerBytes":4000,"maxBodyBytes":10000}})"));
  }

  /// A caller and its stream hold each other, so they aren't closed otherwise.
  ~TestEnvironment() {
    for (const auto& caller : m_callers) {
      caller->m_stream->Close();
    }
  }
  TestEnvironment(const TestEnvironment&) = delete;
  auto operator=(const TestEnvironment&) -> TestEnvironment& = delete;
  TestEnvironment(TestEnvironment&&) = delete;
  auto operator=(TestEnvironment&&) -> TestEnvironment& = delete;

  /// @param software  version that the endpoint's entry states.
  auto AddEndpoint(ScriptedEndpoint::Handler handler,
                   const std::string& software = "v1") -> ScriptedEndpoint& {
    m_endpoints.push_back(
        std::make_unique<ScriptedEndpoint>(m_loop, std::move(handler)));
    PutEndpoint(m_endpoints.size() - 1, 0, software);
    return *m_endpoints.back();
  }

  /// Writes an endpoint's entry to the store.
  /// @param index  of the endpoint in m_endpoints.
  /// @param started_unix_ms  start time stated in the entry.
  auto PutEndpoint(std::size_t index,
                   std::int64_t started_unix_ms = 0,
                   const std::string& software = "v1") -> void {
    m_store.Put("servers", EndpointName(index),
                {{"service", "s"},
                 {"address", FormatTcpAddress(m_endpoints[index]->address())},
                 {"zone", "z"},
                 {"version", software},
                 {"slots", 4},
                 {"state", "ready"},
                 {"coldLeftMs", 0},
                 {"seq", 1},
                 {"born", started_unix_ms}});
  }

  static auto EndpointName(std::size_t index) -> std::string {
    return "e" + std::to_string(index + 1);
  }

  /// Writes an entry to the store that names @p lead as a domain's lead.
  auto PutLead(const std::string& domain,
               const std::string& host,
               const ScriptedEndpoint& lead,
               double processor_share = 1.0) -> void {
    m_store.Put(
        "leads", domain,
        EncodeLeadEntry({.m_host = HostId(host),
                         .m_incarnation = Incarnation(1),
                         .m_peer_address = FormatTcpAddress(lead.address()),
                         .m_processor_share = processor_share}));
  }

  /// Returns the host that the store names as lead of the domain "z".
  auto LeadHost() -> std::string {
    return m_store.Find("leads", "z")["spec"]["host"];
  }

  /// Starts a disk host that keeps its data in @p folder.
  /// @param first_start  its disk has not been replaced by an empty one.
  auto AddDiskHost(const std::string& name,
                   const std::string& folder,
                   const std::string& domain = "z",
                   bool first_start = true) -> void {
    EntrySettings settings;
    settings.m_host = HostId(name);
    settings.m_domain = DomainId(domain);
    settings.m_role = HostRole::kDisk;
    settings.m_tolerated_losses = m_tolerated_losses;
    settings.m_tolerated_domains = m_tolerated_domains;
    settings.m_first_start = first_start;
    settings.m_peer_address = "127.0.0.1:0";
    settings.m_platform_address = FormatTcpAddress(m_store.address());
    settings.m_data_dir = folder;
    m_disk_hosts.push_back(std::make_unique<DiskHost>(m_loop, settings));
    REQUIRE(m_disk_hosts.back()->Start());
    RunUntil(
        [this, &name] { return !m_store.Find("disk-hosts", name).is_null(); });
  }

  /// Starts the host and waits until it is ready and leads its domain.
  auto Start() -> void {
    StartFollower();
    RunUntil([this] { return m_host->leads(); });
  }

  /// Starts the host and waits until it is ready.
  auto StartFollower() -> void {
    m_host = MakeHost("h1", "z");
    RunUntil([this] { return m_host->ready(); });
  }

  /// Starts one more host and waits until it is ready.
  auto AddHost(const std::string& name,
               const std::string& domain,
               double processor_share = 1.0) -> EntryHost& {
    m_more_hosts.push_back(MakeHost(name, domain, processor_share));
    auto& host = *m_more_hosts.back();
    RunUntil([&host] { return host.ready(); });
    return host;
  }

  auto MakeHost(const std::string& name,
                const std::string& domain,
                double processor_share = 1.0) -> std::unique_ptr<EntryHost> {
    auto settings = m_host_settings;
    settings.m_host = HostId(name);
    settings.m_domain = DomainId(domain);
    settings.m_processor_share = processor_share;
    settings.m_tolerated_losses = m_tolerated_losses;
    settings.m_tolerated_domains = m_tolerated_domains;
    settings.m_caller_address = "127.0.0.1:0";
    settings.m_ready_address = "127.0.0.1:0";
    settings.m_peer_address = "127.0.0.1:0";
    settings.m_platform_address = FormatTcpAddress(m_store.address());
    settings.m_obligations = m_obligations;
    auto host = std::make_unique<EntryHost>(m_loop, settings);
    REQUIRE(host->Start());
    return host;
  }

  auto Call(const std::string& request) -> std::shared_ptr<TestCaller> {
    return CallAt(*m_host, request);
  }

  auto CallAt(EntryHost& host, const std::string& request)
      -> std::shared_ptr<TestCaller> {
    auto caller = std::make_shared<TestCaller>();
    TcpSocket socket(m_loop);
    socket.connect(host.caller_address());
    caller->m_stream = std::make_shared<ByteStream>(std::move(socket));
    caller->m_stream->Start(
        {.m_on_bytes =
             [caller](std::string_view bytes) { caller->m_got += bytes; },
         .m_on_end = [caller](StreamEnd /*end*/) { caller->m_ended = true; },
         .m_on_drained = {}});
    caller->m_stream->Write(request);
    m_callers.push_back(caller);
    return caller;
  }

  /// Sends a call and runs until it is answered or its connection ends.
  auto Finish(const std::string& request) -> std::shared_ptr<TestCaller> {
    return FinishAt(*m_host, request);
  }

  auto FinishAt(EntryHost& host, const std::string& request)
      -> std::shared_ptr<TestCaller> {
    auto caller = CallAt(host, request);
    RunUntil([&caller] { return caller->m_ended || caller->Body(); });
    return caller;
  }

  auto RunFor(Duration time) -> void {
    const auto end = SteadyTime() + time;
    RunUntil([end] { return SteadyTime() >= end; });
  }

  auto RunUntil(const std::function<bool()>& done) -> void {
    constexpr auto kLimit = std::chrono::seconds(20);
    const auto begun = std::chrono::steady_clock::now();
    while (!done()) {
      REQUIRE(std::chrono::steady_clock::now() - begun < kLimit);
      m_loop.run_for(std::chrono::milliseconds(5));
      m_store.Tick(SteadyTime());
    }
  }

  EventLoop m_loop;
  /// Of entry hosts that are started from now on.
  Obligations m_obligations;
  TestStore m_store;
  /// Settings of the hosts that are started from now on.
  EntrySettings m_host_settings;
  std::vector<std::unique_ptr<ScriptedEndpoint>> m_endpoints;
  std::vector<std::unique_ptr<DiskHost>> m_disk_hosts;
  std::unique_ptr<EntryHost> m_host;
  std::vector<std::unique_ptr<EntryHost>> m_more_hosts;
  std::vector<std::shared_ptr<TestCaller>> m_callers;
  /// Settings of hosts that are added later.
  int m_tolerated_losses = EntrySettings().m_tolerated_losses;
  std::optional<int> m_tolerated_domains;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TEST_ENVIRONMENT_H_
