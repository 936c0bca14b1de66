#include "admin_front.h"

#include <httplib.h>

#include "dotterelshed/metrics.h"

namespace dotterelshed::pvt {

namespace {

constexpr auto kJson = "application/json";
constexpr int kAccepted = 202;
constexpr int kUnavailable = 503;

}  // namespace

auto AdminFront::AddRoutes(httplib::Server& server) -> void {
  server.Get("/healthz", [](const auto&, httplib::Response& response) {
    response.set_content("{\"alive\":true}", kJson);
  });
  server.Get("/readyz", [this](const auto&, httplib::Response& response) {
    const auto ready = m_hooks.m_ready();
    response.status = ready ? response.status : kUnavailable;
    response.set_content(ready ? "{\"ready\":true}" : "{\"ready\":false}",
                         kJson);
  });
  server.Get("/metrics", [](const auto&, httplib::Response& response) {
    response.set_content(FormatMetrics(), kMetricsContentType);
  });
  const auto dump = [this](const auto&, httplib::Response& response) {
    response.set_content(m_hooks.m_dump(), kJson);
  };
  server.Get("/admin/dump", dump);
  server.Get("/admin/status", dump);
  server.Post("/admin/drain", [this](const auto&, httplib::Response& response) {
    m_hooks.m_drain();
    response.status = kAccepted;
    response.set_content("{\"draining\":true}", kJson);
  });
}

}  // namespace dotterelshed::pvt
