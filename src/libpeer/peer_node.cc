#include "dotterelshed/peer_node.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <csignal>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

#include "loop_tasks.h"
#include "peer_client.h"
#include "peer_server.h"

namespace dotterelshed {

struct PeerNode::Impl {
  PeerOptions m_options;
  PeerHandlers m_handlers;
  std::string m_address;
  pvt::LoopTasks m_tasks;
  PeerCounts m_counts;
  /// Set and used on the loop's thread only.
  pvt::PeerClient* m_client = nullptr;
  std::thread m_thread;

  /// Body of the loop's thread. Sets @p ready once it listens or has failed.
  auto RunLoop(std::promise<Status>& ready) -> void;

  /// Runs @p task with the client, on the loop's thread.
  template <typename Task>
  auto PostToClient(Task task) -> void {
    m_tasks.Post([this, task = std::move(task)]() mutable { task(*m_client); });
  }
};

namespace {

/// KJ may use this signal between its threads; SIGUSR1 asks for a dump here.
constexpr int kLoopSignal = SIGUSR2;

auto HostPart(const std::string& address) -> std::string {
  return address.substr(0, address.rfind(':'));
}

}  // namespace

auto PeerNode::Impl::RunLoop(std::promise<Status>& ready) -> void {
  try {
    auto io = kj::setupAsyncIo();
    auto& network = io.provider->getNetwork();
    auto& timer = io.provider->getTimer();
    auto target = network.parseAddress(m_options.m_address).wait(io.waitScope);
    auto listener = target->listen();
    m_address = HostPart(m_options.m_address) + ":" +
                std::to_string(listener->getPort());
    capnp::TwoPartyServer server(pvt::MakePeerServer(
        {.m_tasks = m_tasks,
         .m_timer = timer,
         .m_progress_interval = m_options.m_progress_interval},
        m_handlers));
    auto listening =
        server.listen(*listener).eagerlyEvaluate([](kj::Exception&&) {});
    pvt::PeerClient client(network, timer, m_options, m_counts);
    m_client = &client;
    ready.set_value({});
    m_tasks.Run(io.waitScope);
    m_client = nullptr;
  } catch (const kj::Exception& exception) {
    ready.set_value(Fail(ErrorCode::kUnavailable,
                         exception.getDescription().cStr(),
                         m_options.m_address));
  }
}

PeerNode::PeerNode(std::unique_ptr<Impl> impl) : m_impl(std::move(impl)) {}

PeerNode::~PeerNode() {
  m_impl->m_tasks.Stop();
  m_impl->m_thread.join();
}

auto PeerNode::Start(const PeerOptions& options, PeerHandlers handlers)
    -> Result<std::unique_ptr<PeerNode>> {
  static std::once_flag signal_reserved;
  std::call_once(signal_reserved,
                 [] { kj::UnixEventPort::setReservedSignal(kLoopSignal); });
  auto impl = std::make_unique<Impl>();
  impl->m_options = options;
  impl->m_handlers = std::move(handlers);
  std::promise<Status> ready;
  impl->m_thread =
      std::thread([raw = impl.get(), &ready] { raw->RunLoop(ready); });
  auto status = ready.get_future().get();
  if (!status) {
    impl->m_thread.join();
    return tl::unexpected<Error>(status.error());
  }
  return std::unique_ptr<PeerNode>(new PeerNode(std::move(impl)));
}

auto PeerNode::address() const -> const std::string& {
  return m_impl->m_address;
}

auto PeerNode::SendMessage(const std::string& address, std::string message)
    -> void {
  m_impl->PostToClient(
      [address, message = std::move(message)](auto& client) mutable {
        client.Send(address, std::move(message));
      });
}

auto PeerNode::ForwardCall(
    const std::string& address,
    const CallRequest& call,
    std::uint64_t offset,
    std::function<void(std::string_view, Tokens)> on_text,
    ForwardDone done) -> void {
  auto state =
      std::make_shared<pvt::ForwardState>(std::move(on_text), std::move(done));
  m_impl->PostToClient([address, call, offset, state](auto& client) {
    client.Forward(address, call, offset, state);
  });
}

auto PeerNode::ForwardAsk(const std::string& address,
                          const RequestId& request,
                          const ProgramId& program,
                          std::uint64_t offset,
                          std::function<void(std::string_view, Tokens)> on_text,
                          ForwardDone done) -> void {
  auto state =
      std::make_shared<pvt::ForwardState>(std::move(on_text), std::move(done));
  m_impl->PostToClient(
      [address, request, program, offset, state](auto& client) {
        client.Ask(address, request, program, offset, state);
      });
}

auto PeerNode::ForwardEnd(const std::string& address, const ProgramId& program)
    -> void {
  m_impl->PostToClient(
      [address, program](auto& client) { client.End(address, program); });
}

auto PeerNode::Counts() const -> PeerCounts {
  std::promise<PeerCounts> result;
  auto future = result.get_future();
  const auto posted = m_impl->m_tasks.Post(
      [this, &result] { result.set_value(m_impl->m_counts); });
  return posted ? future.get() : PeerCounts();
}

}  // namespace dotterelshed
