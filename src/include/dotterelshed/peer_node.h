#ifndef DOTTERELSHED_PEER_NODE_H_
#define DOTTERELSHED_PEER_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/error.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Cap'n Proto RPC between hosts: one-way messages and forwarded calls. One
/// thread runs all connections of a process. Every function may be called
/// from any thread; every callback runs on the node's thread and must not
/// block.

namespace dotterelshed {

/// Text of a call as it is generated, then its answer. Both may be given from
/// any thread; text comes before the answer.
struct CallSink {
  std::function<void(std::string_view text, Tokens generated)> m_on_text;
  std::function<void(const CallAnswer& answer)> m_on_answer;
};

/// What other hosts ask of this one.
struct PeerHandlers {
  /// An encoded PeerMessage arrived; it may be a repeat.
  std::function<void(const std::string& message)> m_on_message;
  /// Run or join @p call. Text before @p offset is not wanted. The returned
  /// function, if any, is called when the asker is gone.
  std::function<std::function<void()>(const CallRequest& call,
                                      std::uint64_t offset,
                                      const CallSink& sink)>
      m_on_call;
  /// Join the call with this request id, or find its stored answer.
  std::function<std::function<void()>(const RequestId& request,
                                      const ProgramId& program,
                                      std::uint64_t offset,
                                      const CallSink& sink)>
      m_on_ask;
  std::function<void(const ProgramId& program)> m_on_end_program;
};

struct PeerOptions {
  /// "IP:port" to listen on; port 0 lets the system choose.
  std::string m_address;
  /// A connection without any answer or progress for this long is closed and
  /// never used again.
  Duration m_silence_limit = std::chrono::milliseconds(1500);
  /// While a call runs, its host shows progress at least this often.
  Duration m_progress_interval = std::chrono::milliseconds(400);
  Duration m_connect_timeout = std::chrono::milliseconds(700);
  /// Unanswered messages to one address; more are dropped.
  int m_max_unanswered = 4096;
};

/// Traffic of this node since its start.
struct PeerCounts {
  std::int64_t m_messages_sent = 0;
  std::int64_t m_message_bytes_sent = 0;
  std::int64_t m_messages_dropped = 0;
  std::int64_t m_connections_opened = 0;
  std::int64_t m_connections_lost = 0;
  std::int64_t m_calls_forwarded = 0;
};

/// How a forwarded call ended: an answer, or an error after which the call
/// may or may not have run there. kUnavailable: it was not sent.
using ForwardDone = std::function<void(const Result<CallAnswer>& answer)>;

/// One process's end of all connections between hosts.
class PeerNode {
 public:
  /// Listens and starts the thread. Fails when the address can't be bound.
  static auto Start(const PeerOptions& options, PeerHandlers handlers)
      -> Result<std::unique_ptr<PeerNode>>;
  /// Stops the thread; callbacks under way finish first.
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  auto operator=(const PeerNode&) -> PeerNode& = delete;

  /// "IP:port" that peers reach this node at.
  auto address() const -> const std::string&;

  /// Sends an encoded PeerMessage; no delivery is promised.
  auto SendMessage(const std::string& address, std::string message) -> void;

  /// Forwards a call. @p done is called exactly once.
  auto ForwardCall(const std::string& address,
                   const CallRequest& call,
                   std::uint64_t offset,
                   std::function<void(std::string_view, Tokens)> on_text,
                   ForwardDone done) -> void;

  /// Asks for the answer of a request by id. @p done is called exactly once.
  auto ForwardAsk(const std::string& address,
                  const RequestId& request,
                  const ProgramId& program,
                  std::uint64_t offset,
                  std::function<void(std::string_view, Tokens)> on_text,
                  ForwardDone done) -> void;

  /// Asks the host at @p address to end a program; no delivery is promised.
  auto ForwardEnd(const std::string& address, const ProgramId& program) -> void;

  auto Counts() const -> PeerCounts;

 private:
  struct Impl;
  explicit PeerNode(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> m_impl;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_PEER_NODE_H_
