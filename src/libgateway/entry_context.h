#ifndef DOTTERELSHED_ENTRY_CONTEXT_H_
#define DOTTERELSHED_ENTRY_CONTEXT_H_

#include <map>
#include <memory>
#include <random>

#include "dotterelshed/byte_stream.h"
#include "dotterelshed/endpoint_choice.h"
#include "dotterelshed/endpoint_directory.h"
#include "dotterelshed/route_table.h"
#include "endpoint_pool.h"
#include "entry_settings.h"
#include "lead_messages.h"
#include "platform/object_store.h"

/// @file
/// What the parts of one host share. One thread runs the event loop, and only
/// it touches this.

namespace dotterelshed {

/// A domain's lead as the store names it.
struct KnownLead {
  LeadEntry m_entry;
  /// Version of the entry, for replacing it.
  ResourceVersion m_version;
};

struct EntryContext {
  EventLoop& m_loop;
  EntrySettings m_settings;
  /// Differs for each start of the process.
  Incarnation m_incarnation;
  ObjectStore m_store;
  /// Newest configuration; empty until one has arrived.
  std::shared_ptr<const RouteTable> m_routes;
  EndpointDirectory m_directory;
  /// This host's own attempts.
  EndpointLoads m_loads;
  EndpointPool m_endpoints;
  EndpointPool m_peers;
  std::map<DomainId, KnownLead> m_leads;
  std::mt19937_64 m_random;

  /// Uniform in [0, 1).
  auto Draw() -> double {
    return std::uniform_real_distribution<double>()(m_random);
  }
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENTRY_CONTEXT_H_
