#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "dotterelshed/quota_holding.h"
#include "dotterelshed/quota_ledger.h"
#include "quota/quota_messages.h"

/// @file
/// Cost of decisions about quotas, and sizes of their messages.

namespace dotterelshed {
namespace {

auto AccountName(int index) -> AccountId {
  return AccountId("account-" + std::to_string(index));
}

/// A lead grants one token at a time, over the given number of accounts.
auto GrantOneToken(benchmark::State& state) -> void {
  const auto count = static_cast<int>(state.range(0));
  const Quota quota{.m_rate = 1e6, .m_burst = 1e6};
  QuotaLedger ledger{.m_bound = {.m_domains = 3}};
  std::vector<QuotaAsk> asks;
  asks.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    asks.push_back({.m_account = AccountName(i), .m_need = 1});
  }
  TimePoint now{std::chrono::seconds(100)};
  std::size_t next = 0;
  while (state.KeepRunning()) {
    now += std::chrono::microseconds(1);
    benchmark::DoNotOptimize(
        GrantTokens(ledger, quota, asks[next++ % asks.size()], now));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(GrantOneToken)->Arg(77)->Arg(2000);

/// One question for one account with its answer, encoded and decoded.
auto AskAndAnswer(benchmark::State& state) -> void {
  const QuotaAskMessage ask{.m_asks = {{AccountName(1234), 1, 0}}};
  const QuotaAnswerMessage answer{
      .m_leads = true,
      .m_grants = true,
      .m_answers = {
          {.m_tokens = 1, .m_lease = std::chrono::milliseconds(300)}}};
  std::size_t bytes = 0;
  while (state.KeepRunning()) {
    const auto question = EncodeQuotaAsk(ask);
    const auto reply = EncodeQuotaAnswer(answer);
    benchmark::DoNotOptimize(DecodeQuotaAsk(question));
    benchmark::DoNotOptimize(DecodeQuotaAnswer(reply));
    bytes = question.size() + reply.size();
  }
  state.SetItemsProcessed(state.iterations());
  state.counters["body_bytes"] = static_cast<double>(bytes);
}
BENCHMARK(AskAndAnswer);

}  // namespace
}  // namespace dotterelshed

BENCHMARK_MAIN();
