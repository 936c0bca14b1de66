#include "host_client.h"

#include <httplib.h>

#include "desk_store.h"

namespace dotterelshed::ctl {

namespace {

constexpr auto kConnectTimeout = std::chrono::seconds(2);
constexpr auto kReadTimeout = std::chrono::seconds(10);
constexpr auto kFirstErrorStatus = 400;

auto MakeClient(const std::string& address) -> httplib::Client {
  httplib::Client client("http://" + address);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(kReadTimeout);
  return client;
}

auto CheckAnswer(const httplib::Result& answer,
                 const std::string& address,
                 const std::string& path) -> Status {
  const auto place = address + path;
  if (!answer) {
    return Fail(
        ErrorCode::kUnavailable,
        "the host does not answer: " + httplib::to_string(answer.error()),
        place);
  }
  if (answer->status >= kFirstErrorStatus) {
    return Fail(ErrorCode::kUnavailable,
                "the host answered " + std::to_string(answer->status) + ": " +
                    answer->body,
                place);
  }
  return {};
}

}  // namespace

auto GetFromHost(const std::string& address, const std::string& path)
    -> Result<std::string> {
  auto client = MakeClient(address);
  const auto answer = client.Get(path);
  const auto status = CheckAnswer(answer, address, path);
  if (!status) {
    return tl::unexpected<Error>(status.error());
  }
  return answer->body;
}

auto PostToHost(const std::string& address, const std::string& path) -> Status {
  auto client = MakeClient(address);
  return CheckAnswer(client.Post(path), address, path);
}

auto HostAnswers(const std::string& address) -> bool {
  auto client = MakeClient(address);
  return static_cast<bool>(client.Get("/healthz"));
}

auto ResolveHost(const CommandOptions& options) -> Result<std::string> {
  const auto& name = options.m_words.front();
  if (name.find(':') != std::string::npos) {
    return name;
  }
  if (options.m_platform.empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "write the host's HTTP address, or its name and --platform",
                name);
  }
  const auto tables = ReadTables(MakePlatformOptions(options.m_platform));
  if (!tables) {
    return tl::unexpected<Error>(tables.error());
  }
  for (const auto& table : *tables) {
    const auto member = table.m_members.find(HostId(name));
    if (member != table.m_members.end()) {
      return member->second.m_addresses.m_http;
    }
  }
  return Fail(ErrorCode::kNotFound, "no domain table names this host", name);
}

}  // namespace dotterelshed::ctl
