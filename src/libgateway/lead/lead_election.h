#ifndef DOTTERELSHED_LEAD_ELECTION_H_
#define DOTTERELSHED_LEAD_ELECTION_H_

#include <string_view>

#include "entry_context.h"
#include "lead/lead_service.h"

/// @file
/// Decides when a host becomes lead without being triggered by a client
/// request: if no host leads its domain, if the store still names an earlier
/// process of this host, if the lead has a much smaller processor share, or if
/// the lead can't reach the store and this host can. The lead handles each turn
/// of its domain, so it should not be a host with little processor time, and it
/// reads the store for the domain's hosts.

namespace dotterelshed {

class LeadElection {
 public:
  LeadElection(EntryContext& context, LeadService& lead);

  /// Call several times per second while this host may become lead.
  auto Tick(TimePoint now) -> void;

 private:
  /// Returns true if the lead hasn't served views for some time although this
  /// host reads the store.
  auto HasLostStore(const KnownLead& lead, TimePoint now) const -> bool;
  /// Sends a request to stop leading. Takes over if the lead agrees, or if it
  /// is smaller and too busy to respond.
  /// @param path  kYieldPath or kStepDownPath.
  auto RequestLead(const KnownLead& lead, std::string_view path) -> void;

  EntryContext& m_context;
  LeadService& m_lead;
  TimePoint m_started_at;
  /// Time for which this host waits for another to become lead.
  Duration m_election_delay;
  /// Time for which this host waits for another to replace a lead that lost the
  /// store.
  Duration m_replacement_delay;
  TimePoint m_next_request;
  /// Version of the lead that was last asked.
  ResourceVersion m_asked_term;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LEAD_ELECTION_H_
