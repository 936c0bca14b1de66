#include "program_tree.h"

#include <algorithm>

namespace dotterelshed::bench {

namespace {

auto CallLatency(const ProgramNode& node,
                 std::size_t call,
                 const EngineOptions& engine) -> Duration {
  const auto generated = node.m_calls[call]->m_generated.value();
  const auto prompt = NewTokens(node, call) - generated;
  const auto prefill_steps =
      (prompt + engine.m_chunk_tokens - 1) / engine.m_chunk_tokens;
  const auto steps = std::max<std::int64_t>(1, prefill_steps + generated - 1);
  return (engine.m_step_base + engine.m_step_per_sequence) * steps +
         engine.m_step_per_prompt_token * prompt;
}

}  // namespace

auto BuildProgramTree(const Trace& trace) -> ProgramTree {
  ProgramTree tree;
  std::map<ProgramId, std::size_t> places;
  for (const auto& call : trace.m_calls) {
    const auto [place, added] =
        places.try_emplace(call.m_program, tree.m_nodes.size());
    const auto index = place->second;
    if (added) {
      tree.m_nodes.push_back({.m_id = call.m_program, .m_root = index});
    }
    if (added && call.m_parent) {
      const auto parent = places.at(*call.m_parent);
      tree.m_nodes[index].m_parent = parent;
      tree.m_nodes[index].m_root = tree.m_nodes[parent].m_root;
      tree.m_nodes[parent].m_children.emplace(call.m_parent_turn, index);
    }
    auto& node = tree.m_nodes[index];
    node.m_calls.push_back(&call);
    auto& root = tree.m_roots[node.m_root];
    root.m_remaining_tokens += NewTokens(node, node.m_calls.size() - 1);
    if (node.m_root == index && call.m_turn == Turn(1)) {
      root.m_arrival = call.m_at;
    }
  }
  return tree;
}

auto NewTokens(const ProgramNode& node, std::size_t call) -> std::int64_t {
  const auto* current = node.m_calls[call];
  auto known = std::int64_t{0};
  if (call > 0) {
    const auto* before = node.m_calls[call - 1];
    known = before->m_prompt.value() + before->m_generated.value();
  }
  return std::max<std::int64_t>(1, current->m_prompt.value() - known) +
         current->m_generated.value();
}

auto LeastLatency(const ProgramTree& tree,
                  std::size_t node,
                  const EngineOptions& engine) -> Duration {
  const auto& program = tree.m_nodes[node];
  Duration total{0};
  for (std::size_t call = 0; call < program.m_calls.size(); ++call) {
    total += program.m_calls[call]->m_pause;
    total += CallLatency(program, call, engine);
    Duration longest{0};
    const auto [first, last] =
        program.m_children.equal_range(program.m_calls[call]->m_turn);
    for (auto child = first; child != last; ++child) {
      longest = std::max(longest, LeastLatency(tree, child->second, engine));
    }
    total += longest;
  }
  return total;
}

}  // namespace dotterelshed::bench
