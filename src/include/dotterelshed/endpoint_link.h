#ifndef DOTTERELSHED_ENDPOINT_LINK_H_
#define DOTTERELSHED_ENDPOINT_LINK_H_

#include <map>
#include <vector>

#include "dotterelshed/endpoint_directory.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// Whether a host reaches endpoints at all. A host may lose its links to all of
/// them while it still reaches its callers, the store and other hosts. Failed
/// connections and silence only raise a suspicion, since endpoints end and
/// stand still too. The suspicion is checked by connecting to several endpoints
/// at once, and so is, several times per second, whether lost links are back.

namespace dotterelshed {

struct EndpointLink {
  /// No endpoint can be reached from this host.
  bool m_lost = false;
  /// Endpoints to which connecting failed since a connection last succeeded.
  std::map<EndpointId, TimePoint> m_unconnected;
  /// Endpoints that have sent nothing since a request was sent to them.
  std::map<EndpointId, TimePoint> m_unanswered;
  /// When any endpoint last sent something.
  TimePoint m_last_heard;
  TimePoint m_next_check;
  bool m_checking = false;
};

/// Outcome of connecting to several endpoints at once.
struct LinkCheck {
  int m_tried = 0;
  int m_connected = 0;
};

auto NoteConnected(EndpointLink& link) -> void;
auto NoteNotConnected(EndpointLink& link,
                      const EndpointId& endpoint,
                      TimePoint now) -> void;
/// A request was sent on a connection of this host's own.
auto NoteSent(EndpointLink& link, const EndpointId& endpoint, TimePoint now)
    -> void;
/// The endpoint sent something on such a connection.
auto NoteHeard(EndpointLink& link, const EndpointId& endpoint, TimePoint now)
    -> void;

/// Returns true if failures may be those of this host's links. What it sees of
/// endpoints says little about them then.
auto IsSuspect(const EndpointLink& link, TimePoint now) -> bool;
/// Returns true if a check is to begin now.
auto IsCheckDue(const EndpointLink& link, TimePoint now) -> bool;
/// Returns the endpoints to connect to, at most kLinkCheckSize. Most are of the
/// host's own domain, since a domain that is cut off from the others still
/// reaches those.
/// @param draw  Uniform in [0, 1).
auto CheckTargets(const EndpointDirectory& directory,
                  const DomainId& domain,
                  double draw) -> std::vector<EndpointId>;
inline constexpr std::size_t kLinkCheckSize = 3;

/// A check ended. Returns true if it changed m_lost.
auto NoteCheck(EndpointLink& link, const LinkCheck& check, TimePoint now)
    -> bool;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_LINK_H_
