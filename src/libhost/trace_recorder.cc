#include "trace_recorder.h"

#include "dotterelshed/trace.h"

namespace dotterelshed::pvt {

TraceRecorder::TraceRecorder(const std::string& file) {
  if (!file.empty()) {
    m_out.open(file, std::ios::app);
  }
}

auto TraceRecorder::Record(const CallRequest& call,
                           const CallAnswer& answer,
                           TimePoint arrived,
                           TimePoint finished) -> void {
  const std::lock_guard lock(m_mutex);
  if (!m_out.is_open() || call.m_kind != ServiceKind::kModel ||
      answer.m_outcome != OutcomeKind::kDone) {
    return;
  }
  if (!m_started) {
    m_started = true;
    m_begin = arrived;
    m_out << FormatTraceLine(TraceHeader{.m_name = "recorded"}) << "\n";
  }
  if (m_programs.size() >= kMaxPrograms) {
    m_programs.clear();
  }
  auto& progress = m_programs[call.m_program];
  const auto first = progress.m_turn == Turn(0);
  const auto pause = first ? Duration(0) : arrived - progress.m_finished;
  progress = {.m_turn = progress.m_turn.Next(), .m_finished = finished};
  m_out << FormatTraceLine(TraceCall{.m_at = arrived - m_begin,
                                     .m_program = call.m_program,
                                     .m_turn = progress.m_turn,
                                     .m_class = call.m_class,
                                     .m_service = call.m_service,
                                     .m_model = call.m_model,
                                     .m_prompt = answer.m_usage.m_prompt,
                                     .m_generated = answer.m_usage.m_generated,
                                     .m_max_generated = call.m_max_tokens,
                                     .m_pause = pause,
                                     .m_repeatable = call.m_repeatable,
                                     .m_last = call.m_end_program,
                                     .m_outcome = answer.m_outcome,
                                     .m_latency = finished - arrived})
        << "\n"
        << std::flush;
  if (call.m_end_program) {
    m_programs.erase(call.m_program);
  }
}

}  // namespace dotterelshed::pvt
