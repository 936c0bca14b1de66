#ifndef SOAK_SERVICE_STANDINS_H_
#define SOAK_SERVICE_STANDINS_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "dotterelshed/http_listener.h"
#include "loopback_proxy.h"

/// @file
/// Endpoints of the soak: engines that stream events and a plain service. What
/// they answer follows from the request's id, so that callers can check it.

namespace dotterelshed::soak {

/// A turn's answer: its events together.
auto AllEvents(const std::string& request) -> std::string;
auto PlainBody(const std::string& request) -> std::string;

/// Body of a request that ends each endpoint that begins to run it.
inline constexpr std::string_view kPoisonBody = "poison";

/// A request that an endpoint begins to work on.
struct ServedRun {
  std::string m_request;
  std::string m_target;
  /// Host that the caller sent it to.
  std::string m_host;
  std::string m_service;
  std::string m_endpoint;
  /// The endpoint ends under it.
  bool m_poison = false;
};

class Endpoint {
 public:
  using OnRun = std::function<void(const ServedRun&)>;

  Endpoint(EventLoop& loop,
           std::string id,
           std::string service,
           unsigned seed,
           OnRun on_run);

  auto id() const -> const std::string& { return m_id; }
  auto service() const -> const std::string& { return m_service; }
  /// Where hosts reach it: a proxy stands before it.
  auto link() -> LoopbackProxy& { return *m_link; }
  /// One in so many answers is lost after the work; 0 for none.
  auto SetLosing(int one_in) -> void { m_lose_one_in = one_in; }
  /// Ends as a process does, and starts anew under its id and address.
  auto Crash(Duration down, std::function<void()> back) -> void;
  auto Tick(TimePoint now) -> void { m_listener.Tick(now); }

 private:
  auto OnRequest(const std::shared_ptr<ServerConnection>& connection,
                 const IncomingRequest& request) -> void;
  auto Stream(const std::shared_ptr<ServerConnection>& connection,
              const std::string& request,
              int next) -> void;
  auto Loses() -> bool;

  EventLoop& m_loop;
  std::string m_id;
  std::string m_service;
  std::mt19937 m_random;
  OnRun m_on_run;
  HttpListener m_listener;
  std::unique_ptr<LoopbackProxy> m_link;
  int m_lose_one_in = 0;
};

}  // namespace dotterelshed::soak

#endif  // SOAK_SERVICE_STANDINS_H_
