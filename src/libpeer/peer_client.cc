#include "peer_client.h"

#include <utility>

#include "call_codec.h"
#include "peer_server.h"

namespace dotterelshed::pvt {

namespace {

/// Silence is looked for this many times within the limit.
constexpr int kSilenceChecks = 4;

auto ToKj(Duration duration) -> kj::Duration {
  return duration.count() * kj::MICROSECONDS;
}

/// Receives the text of a forwarded call.
class ForwardSink final : public wire::TextSink::Server {
 public:
  explicit ForwardSink(ForwardStatePtr state) : m_state(std::move(state)) {}

  auto write(WriteContext context) -> kj::Promise<void> override {
    const auto params = context.getParams();
    const auto text = params.getText();
    m_state->m_last_progress = SteadyTime();
    if (text.size() > 0) {
      m_state->Text({reinterpret_cast<const char*>(text.begin()), text.size()},
                    Tokens(params.getGenerated()));
    }
    return kj::READY_NOW;
  }

 private:
  ForwardStatePtr m_state;
};

}  // namespace

ForwardState::~ForwardState() {
  Finish(Fail(ErrorCode::kTimeout, "the process is stopping"));
}

auto ForwardState::Text(std::string_view text, Tokens generated) -> void {
  if (m_done && m_on_text) {
    m_on_text(text, generated);
  }
}

auto ForwardState::Finish(const Result<CallAnswer>& answer) -> void {
  if (auto done = std::exchange(m_done, nullptr)) {
    done(answer);
  }
}

PeerClient::PeerClient(kj::Network& network,
                       kj::Timer& timer,
                       const PeerOptions& options,
                       PeerCounts& counts)
    : m_network(network),
      m_timer(timer),
      m_options(options),
      m_counts(counts),
      m_tasks(*this) {}

auto PeerClient::Send(const std::string& address, std::string message) -> void {
  auto& remote = m_remotes[address];
  const auto waiting =
      remote.m_unanswered + static_cast<int>(remote.m_pending.size());
  if (waiting >= m_options.m_max_unanswered) {
    ++m_counts.m_messages_dropped;
    return;
  }
  remote.m_pending.push_back(std::move(message));
  if (!std::exchange(remote.m_flush_queued, true)) {
    m_tasks.add(kj::evalLater([this, address] { return Flush(address); }));
  }
}

auto PeerClient::Forward(const std::string& address,
                         const CallRequest& call,
                         std::uint64_t offset,
                         const ForwardStatePtr& state) -> void {
  ++m_counts.m_calls_forwarded;
  Run(address, state, [call, offset, state](PeerConnection& connection) {
    auto request = connection.m_host.callRequest();
    WriteCall(call, SteadyTime(), request.initRequest());
    request.setOffset(offset);
    request.setSink(kj::heap<ForwardSink>(state));
    return request.send().then(
        [](auto&& response) { return ReadAnswer(response.getAnswer()); });
  });
}

auto PeerClient::Ask(const std::string& address,
                     const RequestId& request_id,
                     const ProgramId& program,
                     std::uint64_t offset,
                     const ForwardStatePtr& state) -> void {
  Run(address, state,
      [request_id, program, offset, state](PeerConnection& connection) {
        auto request = connection.m_host.askRequest();
        request.setRequest(request_id.value());
        request.setProgram(program.value());
        request.setOffset(offset);
        request.setSink(kj::heap<ForwardSink>(state));
        return request.send().then(
            [](auto&& response) { return ReadAnswer(response.getAnswer()); });
      });
}

auto PeerClient::End(const std::string& address, const ProgramId& program)
    -> void {
  m_tasks.add(Connect(address).then([program](PeerConnectionPtr connection) {
    auto request = connection->m_host.endProgramRequest();
    request.setProgram(program.value());
    return request.send().ignoreResult().attach(kj::mv(connection));
  }));
}

auto PeerClient::Connect(const std::string& address)
    -> kj::Promise<PeerConnectionPtr> {
  auto& remote = m_remotes[address];
  if (remote.m_connection) {
    return PeerConnectionPtr(remote.m_connection);
  }
  KJ_IF_MAYBE (connecting, remote.m_connecting) {
    return connecting->addBranch();
  }
  auto forked = OpenConnection(address).fork();
  auto branch = forked.addBranch();
  remote.m_connecting = kj::mv(forked);
  return kj::mv(branch);
}

auto PeerClient::OpenConnection(const std::string& address)
    -> kj::Promise<PeerConnectionPtr> {
  auto connected = m_network.parseAddress(address).then(
      [](kj::Own<kj::NetworkAddress> target) {
        return target->connect().attach(kj::mv(target));
      });
  return m_timer
      .timeoutAfter(ToKj(m_options.m_connect_timeout), kj::mv(connected))
      .then(
          [this, address](kj::Own<kj::AsyncIoStream> stream) {
            auto& remote = m_remotes[address];
            remote.m_connection =
                std::make_shared<PeerConnection>(kj::mv(stream));
            ForgetConnecting(address);
            ++m_counts.m_connections_opened;
            return PeerConnectionPtr(remote.m_connection);
          },
          [this, address](kj::Exception&& exception) -> PeerConnectionPtr {
            ForgetConnecting(address);
            kj::throwFatalException(kj::mv(exception));
          });
}

auto PeerClient::ForgetConnecting(const std::string& address) -> void {
  m_tasks.add(kj::evalLater(
      [this, address] { m_remotes[address].m_connecting = nullptr; }));
}

auto PeerClient::Drop(const std::string& address,
                      const PeerConnectionPtr& connection) -> void {
  auto& remote = m_remotes[address];
  if (remote.m_connection == connection) {
    remote.m_connection = nullptr;
    ++m_counts.m_connections_lost;
  }
}

auto PeerClient::Flush(const std::string& address) -> kj::Promise<void> {
  return Connect(address).then(
      [this, address](const PeerConnectionPtr& connection) {
        return Deliver(address, connection);
      },
      [this, address](kj::Exception&&) -> kj::Promise<void> {
        auto& remote = m_remotes[address];
        remote.m_flush_queued = false;
        m_counts.m_messages_dropped +=
            static_cast<std::int64_t>(remote.m_pending.size());
        remote.m_pending.clear();
        return kj::READY_NOW;
      });
}

auto PeerClient::Deliver(const std::string& address,
                         const PeerConnectionPtr& connection)
    -> kj::Promise<void> {
  auto& remote = m_remotes[address];
  remote.m_flush_queued = false;
  const auto batch = std::exchange(remote.m_pending, {});
  const auto count = static_cast<int>(batch.size());
  remote.m_unanswered += count;
  m_counts.m_messages_sent += count;
  auto request = connection->m_host.deliverRequest();
  auto messages = request.initMessages(batch.size());
  auto place = 0U;
  for (const auto& message : batch) {
    m_counts.m_message_bytes_sent += static_cast<std::int64_t>(message.size());
    messages.set(place++, {reinterpret_cast<const kj::byte*>(message.data()),
                           message.size()});
  }
  return m_timer
      .timeoutAfter(ToKj(m_options.m_silence_limit),
                    request.send().ignoreResult())
      .then(
          [this, address, count] { m_remotes[address].m_unanswered -= count; },
          [this, address, count, connection](kj::Exception&&) {
            m_remotes[address].m_unanswered -= count;
            Drop(address, connection);
          });
}

auto PeerClient::Run(const std::string& address,
                     const ForwardStatePtr& state,
                     SendCall send) -> void {
  auto answered = Connect(address).then(
      [this, state, send = std::move(send)](PeerConnectionPtr connection) {
        state->m_sent = true;
        state->m_last_progress = SteadyTime();
        return send(*connection)
            .exclusiveJoin(WatchSilence(state))
            .attach(kj::mv(connection));
      });
  m_tasks.add(answered.then(
      [state](const CallAnswer& answer) { state->Finish(answer); },
      [this, address, state](kj::Exception&& exception) {
        auto& remote = m_remotes[address];
        Drop(address, remote.m_connection);
        const auto code =
            state->m_sent ? ErrorCode::kTimeout : ErrorCode::kUnavailable;
        state->Finish(Fail(code, exception.getDescription().cStr(), address));
      }));
}

auto PeerClient::WatchSilence(const ForwardStatePtr& state)
    -> kj::Promise<CallAnswer> {
  const auto interval = ToKj(m_options.m_silence_limit) / kSilenceChecks;
  return m_timer.afterDelay(interval).then(
      [this, state]() -> kj::Promise<CallAnswer> {
        const auto silent = SteadyTime() - state->m_last_progress;
        if (silent >= m_options.m_silence_limit) {
          return KJ_EXCEPTION(DISCONNECTED, "no progress within the limit");
        }
        return WatchSilence(state);
      });
}

auto PeerClient::taskFailed(kj::Exception&& /*exception*/) -> void {}

}  // namespace dotterelshed::pvt
