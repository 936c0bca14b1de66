#ifndef DOTTERELSHED_BENCH_PROGRAM_TREE_H_
#define DOTTERELSHED_BENCH_PROGRAM_TREE_H_

#include <map>
#include <vector>

#include "dotterelshed/trace.h"
#include "engine_model.h"

/// @file
/// The programs of a trace with their sub-agents, and how far each has come.

namespace dotterelshed::bench {

struct ProgramNode {
  ProgramId m_id;
  std::size_t m_root = 0;
  std::optional<std::size_t> m_parent;
  std::vector<const TraceCall*> m_calls;
  /// Sub-agents by the turn that starts them.
  std::multimap<Turn, std::size_t> m_children;
  std::size_t m_next_call = 0;
  int m_open_children = 0;
  /// Set while the program waits for its sub-agents.
  bool m_joining = false;
};

/// State of a root program.
struct RootState {
  Duration m_arrival{0};
  bool m_broken = false;
  std::int64_t m_remaining_tokens = 0;
};

struct ProgramTree {
  std::vector<ProgramNode> m_nodes;
  std::map<std::size_t, RootState> m_roots;
};

auto BuildProgramTree(const Trace& trace) -> ProgramTree;

/// Tokens that a call adds to what its program has prefilled and generated.
auto NewTokens(const ProgramNode& node, std::size_t call) -> std::int64_t;

/// Shortest time for a program and its sub-agents: pauses, and the steps of
/// an idle engine with a warm cache.
auto LeastLatency(const ProgramTree& tree,
                  std::size_t node,
                  const EngineOptions& engine) -> Duration;

}  // namespace dotterelshed::bench

#endif  // DOTTERELSHED_BENCH_PROGRAM_TREE_H_
