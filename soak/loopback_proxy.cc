#include "loopback_proxy.h"

#include <string>
#include <utility>

#include "after.h"

namespace dotterelshed::soak {

/// One direction of a connection.
struct LoopbackProxy::Side {
  std::shared_ptr<ByteStream> m_to;
  std::string m_held;
  bool m_ended = false;
};

struct LoopbackProxy::Pair {
  Side m_up;
  Side m_down;

  auto side(bool up) -> Side& { return up ? m_up : m_down; }
};

LoopbackProxy::LoopbackProxy(EventLoop& loop, const TcpAddress& target)
    : m_loop(loop),
      m_acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0}),
      m_target(target) {
  Accept();
}

auto LoopbackProxy::Accept() -> void {
  m_acceptor.async_accept(
      [this](const boost::system::error_code& error, TcpSocket socket) {
        if (error) {
          return;
        }
        if (m_state != LinkState::kRefuse) {
          Connect(std::move(socket));
        }
        Accept();
      });
}

auto LoopbackProxy::Connect(TcpSocket accepted) -> void {
  auto from = std::make_shared<TcpSocket>(std::move(accepted));
  auto to = std::make_shared<TcpSocket>(m_loop);
  to->async_connect(m_target,
                    [this, from, to](const boost::system::error_code& error) {
                      if (!error) {
                        Join(std::move(*from), std::move(*to));
                      }
                    });
}

auto LoopbackProxy::Join(TcpSocket accepted, TcpSocket connected) -> void {
  auto pair = std::make_shared<Pair>();
  pair->m_down.m_to = std::make_shared<ByteStream>(std::move(accepted));
  pair->m_up.m_to = std::make_shared<ByteStream>(std::move(connected));
  const auto handlers = [this, pair](bool up) {
    return ByteStreamHandlers{
        .m_on_bytes = [this, pair,
                       up](std::string_view bytes) { Pass(pair, up, bytes); },
        .m_on_end = [this, pair, up](StreamEnd end) { End(pair, up, end); },
        .m_on_drained = {}};
  };
  pair->m_down.m_to->Start(handlers(true));
  pair->m_up.m_to->Start(handlers(false));
  std::erase_if(m_pairs, [](const auto& one) { return one.expired(); });
  m_pairs.push_back(pair);
}

auto LoopbackProxy::MayPass(bool up) const -> bool {
  switch (m_state) {
    case LinkState::kOpen:
      return true;
    case LinkState::kOneWayUp:
      return up;
    case LinkState::kOneWayDown:
      return !up;
    case LinkState::kSilent:
    case LinkState::kRefuse:
      return false;
  }
  return false;
}

auto LoopbackProxy::Pass(const std::shared_ptr<Pair>& pair,
                         bool up,
                         std::string_view bytes) -> void {
  pair->side(up).m_held += bytes;
  if (m_delay <= Duration{0}) {
    Flush(pair, up);
    return;
  }
  After(m_loop, m_delay, [this, pair, up] { Flush(pair, up); });
}

auto LoopbackProxy::Flush(const std::shared_ptr<Pair>& pair, bool up) -> void {
  auto& side = pair->side(up);
  if (!MayPass(up) || side.m_to->closed()) {
    return;
  }
  if (!side.m_held.empty()) {
    side.m_to->Write(std::exchange(side.m_held, {}));
  }
  if (side.m_ended) {
    side.m_to->CloseAfterWrites();
  }
}

auto LoopbackProxy::End(const std::shared_ptr<Pair>& pair,
                        bool up,
                        StreamEnd end) -> void {
  if (end == StreamEnd::kReset) {
    pair->m_up.m_to->Close();
    pair->m_down.m_to->Close();
    return;
  }
  pair->side(up).m_ended = true;
  Flush(pair, up);
}

auto LoopbackProxy::SetState(LinkState state) -> void {
  m_state = state;
  if (state == LinkState::kRefuse) {
    ResetAll();
    return;
  }
  for (const auto& weak : m_pairs) {
    if (const auto pair = weak.lock()) {
      Flush(pair, true);
      Flush(pair, false);
    }
  }
}

auto LoopbackProxy::ResetAll() -> void {
  for (const auto& weak : std::exchange(m_pairs, {})) {
    if (const auto pair = weak.lock()) {
      pair->m_up.m_to->Close();
      pair->m_down.m_to->Close();
    }
  }
}

}  // namespace dotterelshed::soak
