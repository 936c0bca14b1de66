#ifndef DOTTERELSHED_LIBHOST_ADMIN_FRONT_H_
#define DOTTERELSHED_LIBHOST_ADMIN_FRONT_H_

#include <functional>
#include <string>

namespace httplib {
class Server;
}

/// @file
/// Routes for the balancer and the operators.

namespace dotterelshed::pvt {

/// What the routes need of the process.
struct AdminHooks {
  std::function<std::string()> m_dump;
  /// True while the balancer may send callers here.
  std::function<bool()> m_ready;
  std::function<void()> m_drain;
};

/// GET /healthz, /readyz, /metrics, /admin/dump, /admin/status;
/// POST /admin/drain.
class AdminFront {
 public:
  explicit AdminFront(AdminHooks hooks) : m_hooks(std::move(hooks)) {}

  auto AddRoutes(httplib::Server& server) -> void;

 private:
  AdminHooks m_hooks;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_ADMIN_FRONT_H_
