#ifndef DOTTERELSHED_TEST_HISTORY_H_
#define DOTTERELSHED_TEST_HISTORY_H_

#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

#include "test_calls.h"

/// @file
/// A system whose turns' histories are kept, for tests.

namespace dotterelshed {

namespace fs = std::filesystem;

using Request = ScriptedEndpoint::Request;

inline constexpr auto kEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

/// A system with a route that keeps histories, and folders for disk hosts.
struct HistoryEnvironment : public TestEnvironment {
  HistoryEnvironment() {
    std::string name = (fs::temp_directory_path() / "history.XXXXXX").string();
    m_folder = mkdtemp(name.data());
    m_store.Put("config", "main", nlohmann::json::parse(R"({"version":2,
      "routes":[
       {"name":"kept","host":"desk","pathPrefix":"/kept/","kind":"stream",
        "service":"s","timeoutMs":2500,"retain":true,"retentionS":60}],
      "services":[{"name":"s","engine":{"slots":4,"tokensPerEvent":3}}],
      "limits":{"headerBytes":4000,"maxBodyBytes":10000}})"));
  }
  ~HistoryEnvironment() { fs::remove_all(m_folder); }
  HistoryEnvironment(const HistoryEnvironment&) = delete;
  auto operator=(const HistoryEnvironment&) -> HistoryEnvironment& = delete;

  auto AddDisk(const std::string& name,
               const std::string& domain,
               bool first_start = true) -> void {
    AddDiskHost(name, m_folder + "/" + name, domain, first_start);
  }

  /// Adds an endpoint that records the bodies of its requests.
  auto AddRecorder() -> void {
    AddEndpoint([this](const Request& request) {
      m_bodies.push_back(request.m_body);
      request.m_stream->Write(request.Complete(kEvents));
    });
  }

  /// Runs a turn through a host that has no history in memory.
  auto RunElsewhere(const std::string& id,
                    const std::string& previous,
                    const std::string& input) -> int {
    if (m_more_hosts.empty()) {
      AddHost("h2", "y");
    }
    return FinishAt(*m_more_hosts.front(), MakeKeptTurn(id, previous, input))
        ->Status();
  }

  /// Starts a host, with disk hosts d1 and d2 in two domains.
  auto StartWithTwoDisks() -> void {
    AddRecorder();
    AddDisk("d1", "z");
    AddDisk("d2", "y");
    Start();
  }

  auto Run(const std::string& id,
           const std::string& previous,
           const std::string& input) -> int {
    return Finish(MakeKeptTurn(id, previous, input))->Status();
  }

  static auto MakeKeptTurn(const std::string& id,
                           const std::string& previous,
                           const std::string& input) -> std::string {
    const auto field =
        previous.empty() ? "" : "Previous-Turn: " + previous + "\r\n";
    return "POST /kept/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: " + id +
           "\r\nProgram-Id: p\r\nToken-Budget: 10000\r\nToken-Counts: "
           "9,30\r\n" +
           field + "Content-Length: " + std::to_string(input.size()) +
           "\r\n\r\n" + input;
  }

  std::string m_folder;
  std::vector<std::string> m_bodies;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_TEST_HISTORY_H_
