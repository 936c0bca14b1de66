#ifndef DOTTERELSHED_QUOTA_MESSAGES_H_
#define DOTTERELSHED_QUOTA_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/error.h"
#include "dotterelshed/quota_ledger.h"
#include "dotterelshed/units.h"

/// @file
/// Messages about quotas of client accounts: a host asks a lead for tokens of
/// several accounts at once. A message that comes twice takes tokens twice,
/// which lapse unused. Bodies are JSON.

namespace dotterelshed {

struct QuotaAskMessage {
  /// The sender is not a host of the receiver's domain but another lead, or a
  /// host whose own lead doesn't answer. The receiver asks no other lead.
  bool m_loan = false;
  std::vector<QuotaAsk> m_asks;
};

struct QuotaAnswer {
  int m_tokens = 0;
  /// Time after the question was sent in which the tokens may be used.
  Duration m_lease{0};
  /// Time until another token may be there, if there were too few.
  Duration m_next{0};
  /// Time after which a refused request has a good chance to be admitted.
  Duration m_retry_after{0};
};

struct QuotaAnswerMessage {
  /// The receiver leads its domain, so that the other members are valid.
  bool m_leads = false;
  /// The receiver grants from its domain's share; if not, too few tokens don't
  /// mean that a quota is exceeded.
  bool m_grants = false;
  /// One for each question, in the same order.
  std::vector<QuotaAnswer> m_answers;
};

auto EncodeQuotaAsk(const QuotaAskMessage& message) -> std::string;
auto DecodeQuotaAsk(std::string_view text) -> Result<QuotaAskMessage>;
auto EncodeQuotaAnswer(const QuotaAnswerMessage& message) -> std::string;
auto DecodeQuotaAnswer(std::string_view text) -> Result<QuotaAnswerMessage>;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_QUOTA_MESSAGES_H_
