#include "peer_server.h"

#include <memory>
#include <utility>

#include "call_codec.h"

namespace dotterelshed::pvt {

namespace {

/// One call that this host runs for another: relays text and answer from any
/// thread to the asker's sink, and shows progress while there is none.
class ServedCall : public std::enable_shared_from_this<ServedCall> {
 public:
  ServedCall(ServerLoop loop, wire::TextSink::Client sink)
      : m_loop(loop), m_sink(kj::mv(sink)) {}
  ServedCall(const ServedCall&) = delete;
  auto operator=(const ServedCall&) -> ServedCall& = delete;
  ~ServedCall() {
    if (m_detach) {
      m_detach();
    }
  }

  /// Sink to hand to the host. Usable from any thread, also after this call
  /// is gone.
  auto MakeSink() -> CallSink {
    auto& tasks = m_loop.m_tasks;
    std::weak_ptr<ServedCall> weak = weak_from_this();
    return {.m_on_text =
                [&tasks, weak](std::string_view text, Tokens generated) {
                  tasks.Post([weak, copy = std::string(text), generated] {
                    if (auto self = weak.lock()) {
                      self->Write(copy, generated);
                    }
                  });
                },
            .m_on_answer =
                [&tasks, weak](const CallAnswer& answer) {
                  tasks.Post([weak, answer] {
                    if (auto self = weak.lock()) {
                      self->Finish(answer);
                    }
                  });
                }};
  }

  auto SetDetach(std::function<void()> detach) -> void {
    m_detach = std::move(detach);
  }

  /// Resolves with the answer.
  auto Wait() -> kj::Promise<CallAnswer> {
    auto pair = kj::newPromiseAndFulfiller<CallAnswer>();
    m_fulfiller = kj::mv(pair.fulfiller);
    return pair.promise.exclusiveJoin(ShowProgress());
  }

 private:
  auto Write(const std::string& text, Tokens generated) -> void {
    m_wrote = true;
    auto request = m_sink.writeRequest();
    request.setText(
        {reinterpret_cast<const kj::byte*>(text.data()), text.size()});
    request.setGenerated(generated.value());
    m_writes =
        request.send().ignoreResult().eagerlyEvaluate([](kj::Exception&&) {});
  }

  auto Finish(const CallAnswer& answer) -> void {
    if (m_fulfiller.get() != nullptr) {
      m_fulfiller->fulfill(CallAnswer(answer));
    }
  }

  auto ShowProgress() -> kj::Promise<CallAnswer> {
    const auto interval = m_loop.m_progress_interval.count() * kj::MICROSECONDS;
    return m_loop.m_timer.afterDelay(interval).then([this] {
      if (!std::exchange(m_wrote, false)) {
        Write("", Tokens(0));
        m_wrote = false;
      }
      return ShowProgress();
    });
  }

  ServerLoop m_loop;
  wire::TextSink::Client m_sink;
  kj::Own<kj::PromiseFulfiller<CallAnswer>> m_fulfiller;
  kj::Promise<void> m_writes = kj::READY_NOW;
  std::function<void()> m_detach;
  bool m_wrote = false;
};

class PeerServer final : public wire::Host::Server {
 public:
  PeerServer(ServerLoop loop, const PeerHandlers& handlers)
      : m_loop(loop), m_handlers(handlers) {}

  auto deliver(DeliverContext context) -> kj::Promise<void> override {
    for (const auto message : context.getParams().getMessages()) {
      m_handlers.m_on_message(std::string(
          reinterpret_cast<const char*>(message.begin()), message.size()));
    }
    return kj::READY_NOW;
  }

  auto call(CallContext context) -> kj::Promise<void> override {
    const auto params = context.getParams();
    auto served = std::make_shared<ServedCall>(m_loop, params.getSink());
    auto answer = served->Wait();
    served->SetDetach(
        m_handlers.m_on_call(ReadCall(params.getRequest(), SteadyTime()),
                             params.getOffset(), served->MakeSink()));
    return answer
        .then([context](const CallAnswer& result) mutable {
          WriteAnswer(result, context.getResults().initAnswer());
        })
        .attach(kj::mv(served));
  }

  auto ask(AskContext context) -> kj::Promise<void> override {
    const auto params = context.getParams();
    auto served = std::make_shared<ServedCall>(m_loop, params.getSink());
    auto answer = served->Wait();
    served->SetDetach(m_handlers.m_on_ask(RequestId(params.getRequest().cStr()),
                                          ProgramId(params.getProgram().cStr()),
                                          params.getOffset(),
                                          served->MakeSink()));
    return answer
        .then([context](const CallAnswer& result) mutable {
          WriteAnswer(result, context.getResults().initAnswer());
        })
        .attach(kj::mv(served));
  }

  auto endProgram(EndProgramContext context) -> kj::Promise<void> override {
    m_handlers.m_on_end_program(
        ProgramId(context.getParams().getProgram().cStr()));
    return kj::READY_NOW;
  }

 private:
  ServerLoop m_loop;
  const PeerHandlers& m_handlers;
};

}  // namespace

auto MakePeerServer(ServerLoop loop, const PeerHandlers& handlers)
    -> wire::Host::Client {
  return kj::heap<PeerServer>(loop, handlers);
}

}  // namespace dotterelshed::pvt
