#ifndef DOTTERELSHED_RELAY_SERVICE_H_
#define DOTTERELSHED_RELAY_SERVICE_H_

#include <memory>
#include <string>

#include "dotterelshed/http_listener.h"
#include "entry_context.h"

/// @file
/// Passes the bytes of other hosts' attempts on to endpoints. A host that lost
/// its links to endpoints decides everything about its requests itself and
/// borrows a connection only: one for each attempt, straight to an endpoint
/// that this host lists too, so that nothing is passed on twice.

namespace dotterelshed {

class RelayService {
 public:
  explicit RelayService(EntryContext& context) : m_context(context) {}

  /// Answers 200 once connected: what follows the request goes to the endpoint,
  /// and the body of the answer is what the endpoint sends. 502: the endpoint
  /// can't be reached. 503: this host passes nothing on now.
  auto Handle(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request) -> void;
  /// Answers a host that asks which hosts pass attempts on: those that read
  /// their views through this one, or this one alone.
  auto HandleListRequest(const std::shared_ptr<ServerConnection>& connection)
      -> void;
  /// True if this host reaches endpoints, has room and isn't being stopped.
  auto available() const -> bool;
  /// No attempt is taken any more; open ones go on.
  auto Stop() -> void { m_stopped = true; }
  /// Attempts that are being passed on.
  auto open() const -> int { return *m_open; }

 private:
  class Passage;

  auto IsListed(const std::string& address) const -> bool;

  EntryContext& m_context;
  /// Shared with the passages, which may outlive this.
  std::shared_ptr<int> m_open = std::make_shared<int>(0);
  bool m_stopped = false;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_RELAY_SERVICE_H_
