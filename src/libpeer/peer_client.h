#ifndef DOTTERELSHED_LIBPEER_PEER_CLIENT_H_
#define DOTTERELSHED_LIBPEER_PEER_CLIENT_H_

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dotterelshed/peer_node.h"
#include "host_rpc.capnp.h"

/// @file
/// The side of PeerNode that talks to other hosts. All of it runs on the
/// loop's thread.

namespace dotterelshed::pvt {

/// One connection to another host.
struct PeerConnection {
  explicit PeerConnection(kj::Own<kj::AsyncIoStream> stream)
      : m_stream(kj::mv(stream)),
        m_client(*m_stream),
        m_host(m_client.bootstrap().castAs<wire::Host>()) {}

  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyClient m_client;
  wire::Host::Client m_host;
};
using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

/// A forwarded call under way. Calls its done function exactly once, at the
/// latest when it is destroyed.
class ForwardState {
 public:
  ForwardState(std::function<void(std::string_view, Tokens)> on_text,
               ForwardDone done)
      : m_on_text(std::move(on_text)), m_done(std::move(done)) {}
  ForwardState(const ForwardState&) = delete;
  auto operator=(const ForwardState&) -> ForwardState& = delete;
  ~ForwardState();

  auto Text(std::string_view text, Tokens generated) -> void;
  auto Finish(const Result<CallAnswer>& answer) -> void;

  /// Turns true when the request was handed to a connection.
  bool m_sent = false;
  TimePoint m_last_progress;

 private:
  std::function<void(std::string_view, Tokens)> m_on_text;
  ForwardDone m_done;
};
using ForwardStatePtr = std::shared_ptr<ForwardState>;

/// Connections to all other hosts, opened on demand.
class PeerClient final : private kj::TaskSet::ErrorHandler {
 public:
  PeerClient(kj::Network& network,
             kj::Timer& timer,
             const PeerOptions& options,
             PeerCounts& counts);

  auto Send(const std::string& address, std::string message) -> void;
  /// @param call its deadline is on this host's steady clock.
  auto Forward(const std::string& address,
               const CallRequest& call,
               std::uint64_t offset,
               const ForwardStatePtr& state) -> void;
  auto Ask(const std::string& address,
           const RequestId& request,
           const ProgramId& program,
           std::uint64_t offset,
           const ForwardStatePtr& state) -> void;
  auto End(const std::string& address, const ProgramId& program) -> void;

 private:
  struct Remote {
    PeerConnectionPtr m_connection;
    kj::Maybe<kj::ForkedPromise<PeerConnectionPtr>> m_connecting;
    std::vector<std::string> m_pending;
    bool m_flush_queued = false;
    int m_unanswered = 0;
  };
  using SendCall =
      std::function<kj::Promise<CallAnswer>(PeerConnection& connection)>;

  auto Connect(const std::string& address) -> kj::Promise<PeerConnectionPtr>;
  auto OpenConnection(const std::string& address)
      -> kj::Promise<PeerConnectionPtr>;
  /// Forgets the attempt to connect once its promise has been consumed.
  auto ForgetConnecting(const std::string& address) -> void;
  /// Never uses @p connection again.
  auto Drop(const std::string& address, const PeerConnectionPtr& connection)
      -> void;
  auto Flush(const std::string& address) -> kj::Promise<void>;
  auto Deliver(const std::string& address, const PeerConnectionPtr& connection)
      -> kj::Promise<void>;
  auto Run(const std::string& address,
           const ForwardStatePtr& state,
           SendCall send) -> void;
  auto WatchSilence(const ForwardStatePtr& state) -> kj::Promise<CallAnswer>;
  auto taskFailed(kj::Exception&& exception) -> void override;

  kj::Network& m_network;
  kj::Timer& m_timer;
  const PeerOptions& m_options;
  PeerCounts& m_counts;
  std::map<std::string, Remote> m_remotes;
  kj::TaskSet m_tasks;
};

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBPEER_PEER_CLIENT_H_
