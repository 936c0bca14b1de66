// Bytes and time to copy a pool's state to a new host, over programs and turns.
#include <vector>

#include "capacity_report.h"
#include "dotterelshed/error.h"
#include "dotterelshed/peer_codec.h"

namespace dotterelshed::bench {
namespace {

auto MakeProgram(int number, int turns, int answer_bytes) -> ProgramRecord {
  ProgramRecord program;
  program.m_program = ProgramId("west." + std::to_string(100000 + number));
  program.m_root = program.m_program;
  program.m_account = AccountId("watch");
  program.m_class = ClassId("question");
  for (auto i = 1; i <= turns; ++i) {
    TurnRecord turn;
    turn.m_turn = Turn(i);
    turn.m_request =
        RequestId(program.m_program.value() + ":" + std::to_string(i));
    turn.m_content = Digest(std::string(32, 'c'));
    turn.m_chain = Digest(std::string(32, 'd'));
    turn.m_outcome = OutcomeKind::kDone;
    turn.m_answer = std::string(static_cast<std::size_t>(answer_bytes), 'a');
    program.m_turns.push_back(std::move(turn));
  }
  return program;
}

auto Measure(int programs, int turns, int answer_bytes)
    -> std::vector<std::string> {
  StateCopy copy{.m_pool = PoolId("west/0"), .m_term = Term(3)};
  const auto before = BytesInUse();
  for (auto i = 0; i < programs; ++i) {
    copy.m_programs.push_back(MakeProgram(i, turns, answer_bytes));
  }
  const auto memory = BytesInUse() - before;
  const auto begin = ProcessorTime();
  const auto bytes = EncodePeerMessage(copy);
  DOTTERELSHED_CHECK(DecodePeerMessage(bytes));
  const auto spent = ToSeconds(ProcessorTime() - begin);
  return {std::to_string(programs),
          std::to_string(turns),
          std::to_string(answer_bytes),
          Fixed(static_cast<double>(bytes.size()) / programs, 0),
          Fixed(spent * 1e6 / programs, 1),
          Fixed(static_cast<double>(memory) / programs, 0)};
}

auto Run() -> void {
  std::vector<std::vector<std::string>> rows;
  for (const auto programs : {100, 400, 1600}) {
    rows.push_back(Measure(programs, 8, 1024));
  }
  for (const auto turns : {1, 16, 64, 320}) {
    rows.push_back(Measure(100, turns, 1024));
  }
  rows.push_back(Measure(100, 320, 0));
  rows.push_back(Measure(100, 64, 8192));
  PrintMarkdown("Copying programs to a new host",
                {"programs", "turns", "answer bytes", "bytes/program",
                 "us/program", "memory/program"},
                rows);
}

}  // namespace
}  // namespace dotterelshed::bench

auto main() -> int {
  dotterelshed::bench::Run();
  return 0;
}
