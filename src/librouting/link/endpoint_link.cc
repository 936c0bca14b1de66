#include "dotterelshed/endpoint_link.h"

#include <algorithm>

namespace dotterelshed {

namespace {

/// Endpoints that must fail for a suspicion; one or two may have ended.
constexpr std::size_t kMinUnconnected = 2;
constexpr std::size_t kMinUnanswered = 3;
/// Silence of an endpoint that counts; most answer sooner.
constexpr Duration kSilence = std::chrono::milliseconds(500);
/// Failures and unanswered requests are forgotten after this time.
constexpr Duration kMemory = std::chrono::seconds(3);
/// Least time between two checks of a suspicion, and of lost links.
constexpr Duration kSuspicionInterval = std::chrono::milliseconds(1000);
constexpr Duration kLostInterval = std::chrono::milliseconds(400);
/// Endpoints that must be reached before lost links count as back.
constexpr int kMinConnected = 2;
/// A check of fewer endpoints can't tell lost links from ended endpoints.
constexpr int kMinTried = 2;

auto CountSince(const std::map<EndpointId, TimePoint>& times,
                TimePoint from,
                TimePoint to) -> std::size_t {
  const auto count =
      std::count_if(times.begin(), times.end(), [from, to](const auto& item) {
        return item.second >= from && item.second <= to;
      });
  return static_cast<std::size_t>(count);
}

auto IsSilent(const EndpointLink& link, TimePoint now) -> bool {
  return now - link.m_last_heard >= kSilence &&
         CountSince(link.m_unanswered, now - kMemory, now - kSilence) >=
             kMinUnanswered;
}

/// Adds up to @p count of @p from to @p to, beginning at a place given by
/// @p draw.
auto AddSome(const std::vector<EndpointId>& from,
             std::size_t count,
             double draw,
             std::vector<EndpointId>& to) -> void {
  const auto begin =
      static_cast<std::size_t>(draw * static_cast<double>(from.size()));
  for (std::size_t i = 0; i < std::min(count, from.size()); ++i) {
    to.push_back(from[(begin + i) % from.size()]);
  }
}

}  // namespace

auto NoteConnected(EndpointLink& link) -> void {
  link.m_unconnected.clear();
}

auto NoteNotConnected(EndpointLink& link,
                      const EndpointId& endpoint,
                      TimePoint now) -> void {
  link.m_unconnected[endpoint] = now;
}

auto NoteSent(EndpointLink& link, const EndpointId& endpoint, TimePoint now)
    -> void {
  const auto [sent, added] = link.m_unanswered.try_emplace(endpoint, now);
  if (now - sent->second > kMemory) {
    sent->second = now;
  }
}

auto NoteHeard(EndpointLink& link, const EndpointId& endpoint, TimePoint now)
    -> void {
  link.m_unanswered.erase(endpoint);
  link.m_last_heard = now;
}

auto IsSuspect(const EndpointLink& link, TimePoint now) -> bool {
  return CountSince(link.m_unconnected, now - kMemory, now) >=
             kMinUnconnected ||
         IsSilent(link, now);
}

auto IsCheckDue(const EndpointLink& link, TimePoint now) -> bool {
  return !link.m_checking && now >= link.m_next_check &&
         (link.m_lost || IsSuspect(link, now));
}

auto CheckTargets(const EndpointDirectory& directory,
                  const DomainId& domain,
                  double draw) -> std::vector<EndpointId> {
  std::vector<EndpointId> near;
  std::vector<EndpointId> far;
  for (const auto& [id, entry] : directory.m_entries) {
    if (!entry.m_leaving) {
      (entry.m_domain == domain ? near : far).push_back(id);
    }
  }
  std::vector<EndpointId> targets;
  AddSome(near, far.empty() ? kLinkCheckSize : kLinkCheckSize - 1, draw,
          targets);
  AddSome(far, kLinkCheckSize - targets.size(), draw, targets);
  return targets;
}

auto NoteCheck(EndpointLink& link, const LinkCheck& check, TimePoint now)
    -> bool {
  link.m_checking = false;
  const auto was_lost = link.m_lost;
  if (was_lost) {
    link.m_lost = check.m_connected < std::min(kMinConnected, check.m_tried);
  } else {
    link.m_lost = check.m_connected == 0 && check.m_tried >= kMinTried;
  }
  link.m_next_check = now + (link.m_lost ? kLostInterval : kSuspicionInterval);
  if (link.m_lost != was_lost || check.m_connected > 0) {
    link.m_unconnected.clear();
    link.m_unanswered.clear();
  }
  return link.m_lost != was_lost;
}

}  // namespace dotterelshed
