#ifndef DOTTERELSHED_LIBHOST_CALLER_FRONT_H_
#define DOTTERELSHED_LIBHOST_CALLER_FRONT_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "call_parser.h"
#include "call_router.h"
#include "dotterelshed/settings.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

/// @file
/// The callers' HTTP interface; docs/PROTOCOLS.md describes it.

namespace dotterelshed::pvt {

class CallerFront {
 public:
  CallerFront(const Settings& settings, CoreRunner& core, CallRouter& router)
      : m_settings(settings), m_core(core), m_router(router) {}

  /// Adds the callers' routes to @p server.
  auto AddRoutes(httplib::Server& server) -> void;

  /// Callers' requests that are open now.
  auto OpenCount() const -> int { return m_open; }

 private:
  using Parse = ParsedCall (*)(const CallerInput& input,
                               const ParseContext& context);

  /// Counts an account's open requests on this host.
  class AccountSlot;

  auto HandleCall(const httplib::Request& request,
                  httplib::Response& response,
                  Parse parse,
                  ServiceId service,
                  std::string path) -> void;
  auto HandleAsk(const httplib::Request& request, httplib::Response& response)
      -> void;
  /// Programs that a request asked for again may belong to.
  auto FindPrograms(const httplib::Request& request, const RequestId& id)
      -> std::vector<ProgramId>;
  /// Asks for a request in each program until one has it.
  auto AskEach(const RequestId& id,
               const std::vector<ProgramId>& programs,
               TimePoint deadline) -> RequestEntryPtr;
  auto HandleEnd(const httplib::Request& request, httplib::Response& response)
      -> void;
  /// Answers with the stream of @p entry from @p offset on. @p slot is held
  /// until the stream has ended.
  auto Stream(const RequestEntryPtr& entry,
              std::uint64_t offset,
              const RequestId& request,
              const std::string& model,
              TimePoint deadline,
              httplib::Response& response,
              const std::shared_ptr<AccountSlot>& slot) -> void;
  /// Waits for the answer; unknown if the deadline passes.
  auto WaitAnswer(const RequestEntryPtr& entry,
                  const RequestId& request,
                  TimePoint deadline) -> CallAnswer;
  auto WriteAnswer(const CallAnswer& answer, httplib::Response& response) const
      -> void;
  const Settings& m_settings;
  CoreRunner& m_core;
  CallRouter& m_router;
  std::atomic<int> m_open = 0;
  std::mutex m_accounts_mutex;
  std::map<AccountId, int> m_accounts;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_CALLER_FRONT_H_
