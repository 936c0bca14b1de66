#ifndef DOTTERELSHED_LEAD_ELECTION_H_
#define DOTTERELSHED_LEAD_ELECTION_H_

#include "entry_context.h"
#include "lead_service.h"

/// @file
/// When a host becomes lead without a caller's question: no host leads its
/// domain yet, the store still names its own process of before, or a much
/// smaller host leads. A lead answers each turn of its domain, so hosts with
/// little processor time should not be it.

namespace dotterelshed {

class LeadElection {
 public:
  LeadElection(EntryContext& context, LeadService& lead);

  /// To be called at short intervals while this host may lead.
  auto Tick(TimePoint now) -> void;

 private:
  /// True when @p lead should make room for this host.
  auto IsMuchSmaller(const KnownLead& lead) const -> bool;
  auto RequestYield(const KnownLead& lead) -> void;

  EntryContext& m_context;
  LeadService& m_lead;
  TimePoint m_started_at;
  /// Time that this host waits for another to lead.
  Duration m_election_delay;
  TimePoint m_next_yield_request;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_ELECTION_H_
