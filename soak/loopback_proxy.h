#ifndef SOAK_LOOPBACK_PROXY_H_
#define SOAK_LOOPBACK_PROXY_H_

#include <memory>
#include <vector>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/units.h"

/// @file
/// A TCP proxy on loopback that stands between a host and the store, an
/// endpoint or its callers, and disturbs what passes.

namespace dotterelshed::soak {

enum class LinkState {
  kOpen,
  kSilent,      ///< Nothing passes, either way; connections stay.
  kOneWayUp,    ///< Only what the connecting side sends passes.
  kOneWayDown,  ///< Only what the other side sends passes.
  kRefuse,      ///< Connections are reset, new ones too.
};

class LoopbackProxy {
 public:
  LoopbackProxy(EventLoop& loop, const TcpAddress& target);

  auto address() const -> TcpAddress { return m_acceptor.local_endpoint(); }
  /// What was held back passes once the state lets it.
  auto SetState(LinkState state) -> void;
  /// Time that each piece of bytes is late.
  auto SetDelay(Duration delay) -> void { m_delay = delay; }
  /// Breaks all connections.
  auto ResetAll() -> void;

 private:
  struct Side;
  struct Pair;

  auto Accept() -> void;
  auto Connect(TcpSocket accepted) -> void;
  auto Join(TcpSocket accepted, TcpSocket connected) -> void;
  auto Pass(const std::shared_ptr<Pair>& pair, bool up, std::string_view bytes)
      -> void;
  auto Flush(const std::shared_ptr<Pair>& pair, bool up) -> void;
  auto End(const std::shared_ptr<Pair>& pair, bool up, StreamEnd end) -> void;
  auto MayPass(bool up) const -> bool;

  EventLoop& m_loop;
  boost::asio::ip::tcp::acceptor m_acceptor;
  TcpAddress m_target;
  LinkState m_state = LinkState::kOpen;
  Duration m_delay{0};
  std::vector<std::weak_ptr<Pair>> m_pairs;
};

}  // namespace dotterelshed::soak

#endif  // SOAK_LOOPBACK_PROXY_H_
