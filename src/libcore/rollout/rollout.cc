#include "dotterelshed/rollout.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "dotterelshed/chart.h"
#include "dotterelshed/config_text.h"
#include "dotterelshed/load_chart.h"
#include "rollout/rollout_diff.h"

namespace dotterelshed {

namespace pvt {

namespace {

enum class RolloutState { kEmpty, kInForce, kBehind };
enum class RolloutEvent {
  kNewerSeen,
  kRequestDue,
  kCaughtUp,
  kCameCloser,
  kUnusable
};
enum class RolloutAction { kAskPeer, kAskPlatform, kPutInForce };
using RolloutStateMachine = Chart<RolloutState, RolloutEvent, RolloutAction>;

constexpr auto kStates =
    std::to_array<std::string_view>({"empty", "in_force", "behind"});
constexpr auto kEvents = std::to_array<std::string_view>(
    {"newer_seen", "request_due", "caught_up", "came_closer", "unusable"});
constexpr auto kActions = std::to_array<std::string_view>(
    {"ask_peer", "ask_platform", "put_in_force"});

constexpr auto kMaxRejected = std::size_t{16};

struct PreviousText {
  Generation m_generation;
  std::string m_text;
};

/// The newest generation known to this host, and hosts that have it.
struct NewestSeen {
  Generation m_generation;
  HostRef m_from;
  /// Another host that has it, used when the first does not reply.
  HostRef m_other;
  /// Requests to peers since the last read from the platform.
  int m_requests = 0;
};

/// A checked configuration that may be put in force.
struct Candidate {
  std::shared_ptr<const DeskConfig> m_config;
  std::string m_text;
};

}  // namespace

}  // namespace pvt

struct Rollout {
  RolloutOptions m_options;
  pvt::RolloutStateMachine m_state_machine;
  pvt::RolloutState m_state = pvt::RolloutState::kEmpty;
  std::shared_ptr<const DeskConfig> m_config;
  std::string m_text;
  std::deque<pvt::PreviousText> m_previous_texts;
  /// Cached differences from earlier generations to the text in force.
  std::map<Generation, std::string> m_differences;
  pvt::NewestSeen m_newest;
  /// Set after a difference could not be applied; requests then ask for the
  /// full text.
  bool m_request_full_text = false;
  TimePoint m_next_request;
  /// Generations that this build can't read.
  std::set<Generation> m_rejected;
  /// Last status written by this host as the lead.
  std::optional<DomainStatus> m_status;
  /// False while the platform may have an older status.
  bool m_status_current = false;
  TimePoint m_next_status;
};

namespace pvt {

namespace {

auto CurrentGeneration(const Rollout& rollout) -> Generation {
  return rollout.m_config ? rollout.m_config->m_generation : Generation();
}

/// Requests the newest generation from a peer, or reads it from the platform
/// after m_peer_requests unsuccessful requests.
auto AskPeer(Rollout& rollout, TimePoint now, RolloutStep& step) -> void {
  auto& newest = rollout.m_newest;
  rollout.m_next_request = now + rollout.m_options.m_request_timeout;
  if (newest.m_requests >= rollout.m_options.m_peer_requests) {
    newest.m_requests = 0;
    step.m_effects.emplace_back(ReadConfig{newest.m_generation});
    return;
  }
  if (newest.m_requests > 0 && !newest.m_other.m_host.empty()) {
    std::swap(newest.m_from, newest.m_other);
  }
  ++newest.m_requests;
  const auto have =
      rollout.m_request_full_text ? Generation() : CurrentGeneration(rollout);
  step.m_effects.emplace_back(SendPeer{
      newest.m_from.m_host,
      ConfigRequest{.m_from = rollout.m_options.m_self, .m_have = have}});
}

/// Reads the configuration of a host that has none from the platform.
auto AskPlatform(Rollout& rollout, TimePoint now, RolloutStep& step) -> void {
  rollout.m_next_request = now + rollout.m_options.m_first_read_interval;
  step.m_effects.emplace_back(ReadConfig{});
}

auto PutInForce(Rollout& rollout, Candidate* candidate, RolloutStep& step)
    -> void {
  DOTTERELSHED_CHECK(candidate != nullptr);
  if (rollout.m_config) {
    rollout.m_previous_texts.push_back(
        {.m_generation = CurrentGeneration(rollout),
         .m_text = std::move(rollout.m_text)});
  }
  const auto limit = static_cast<std::size_t>(rollout.m_options.m_kept_texts);
  while (rollout.m_previous_texts.size() > limit) {
    rollout.m_previous_texts.pop_front();
  }
  rollout.m_differences.clear();
  rollout.m_request_full_text = false;
  rollout.m_config = std::move(candidate->m_config);
  rollout.m_text = std::move(candidate->m_text);
  const auto generation = CurrentGeneration(rollout);
  step.m_adopted = rollout.m_config;
  step.m_effects.emplace_back(ConfigInForce{generation});
  step.m_effects.emplace_back(WriteLog{
      .m_id = LogEventId::kConfigInForce,
      .m_fields = {{"generation", std::to_string(generation.value())}}});
}

auto Fire(Rollout& rollout,
          RolloutEvent event,
          Candidate* candidate,
          TimePoint now,
          RolloutStep& step) -> void {
  const auto* transition = rollout.m_state_machine.Find(rollout.m_state, event);
  if (transition == nullptr) {
    return;
  }
  rollout.m_state = transition->m_to;
  for (const auto action : transition->m_actions) {
    switch (action) {
      case RolloutAction::kAskPeer:
        AskPeer(rollout, now, step);
        break;
      case RolloutAction::kAskPlatform:
        AskPlatform(rollout, now, step);
        break;
      case RolloutAction::kPutInForce:
        PutInForce(rollout, candidate, step);
        break;
    }
  }
}

/// Puts a checked configuration in force if it is newer.
auto ApplyCandidate(Rollout& rollout,
                    Candidate candidate,
                    TimePoint now,
                    RolloutStep& step) -> void {
  const auto generation = candidate.m_config->m_generation;
  if (generation <= CurrentGeneration(rollout)) {
    return;
  }
  rollout.m_newest.m_requests = 0;
  if (generation >= rollout.m_newest.m_generation) {
    rollout.m_newest = {.m_generation = generation};
    Fire(rollout, RolloutEvent::kCaughtUp, &candidate, now, step);
  } else {
    Fire(rollout, RolloutEvent::kCameCloser, &candidate, now, step);
  }
}

/// Records a generation that can't be used, keeps the one in force and logs the
/// problem.
auto Reject(Rollout& rollout,
            Generation generation,
            const ConfigProblem& problem,
            TimePoint now,
            RolloutStep& step) -> void {
  if (rollout.m_config) {
    rollout.m_newest = {.m_generation = CurrentGeneration(rollout)};
    Fire(rollout, RolloutEvent::kUnusable, nullptr, now, step);
  }
  rollout.m_rejected.insert(generation);
  if (rollout.m_rejected.size() > kMaxRejected) {
    rollout.m_rejected.erase(rollout.m_rejected.begin());
  }
  step.m_effects.emplace_back(WriteLog{
      .m_id = LogEventId::kConfigRejected,
      .m_fields = {{"generation", std::to_string(generation.value())},
                   {"problem", FormatProblem(problem, "configuration")}}});
}

/// Returns the full text of an offer, or nothing when its base is not the text
/// in force or the result does not match its digest.
auto TextOf(const Rollout& rollout, const ConfigOffer& offer)
    -> std::optional<std::string> {
  if (!offer.m_base) {
    return offer.m_text;
  }
  if (*offer.m_base != CurrentGeneration(rollout)) {
    return std::nullopt;
  }
  auto text = ApplyDifference(rollout.m_text, offer.m_text);
  if (!text || DigestOf(*text) != offer.m_digest) {
    return std::nullopt;
  }
  return std::move(*text);
}

/// Returns the difference from the text of @p base to the one in force; null if
/// that text is no longer kept.
auto DifferenceFrom(Rollout& rollout, Generation base) -> const std::string* {
  const auto cached = rollout.m_differences.find(base);
  if (cached != rollout.m_differences.end()) {
    return &cached->second;
  }
  const auto kept = std::find_if(
      rollout.m_previous_texts.begin(), rollout.m_previous_texts.end(),
      [base](const PreviousText& text) { return text.m_generation == base; });
  if (kept == rollout.m_previous_texts.end()) {
    return nullptr;
  }
  auto difference = MakeDifference(kept->m_text, rollout.m_text);
  return &rollout.m_differences.emplace(base, std::move(difference))
              .first->second;
}

auto MakeStatus(const Rollout& rollout, const std::vector<MemberInfo>& members)
    -> DomainStatus {
  const auto newest =
      std::max(CurrentGeneration(rollout), rollout.m_newest.m_generation);
  DomainStatus status{.m_domain = rollout.m_options.m_domain,
                      .m_in_force = CurrentGeneration(rollout)};
  for (const auto& member : members) {
    const auto self = member.m_host == rollout.m_options.m_self;
    const auto generation =
        self ? CurrentGeneration(rollout) : member.m_generation;
    status.m_in_force = std::min(status.m_in_force, generation);
    if (generation < newest) {
      status.m_behind.push_back(member.m_host.m_host);
    }
  }
  return status;
}

auto SameStatus(const std::optional<DomainStatus>& before,
                const DomainStatus& after) -> bool {
  return before && before->m_in_force == after.m_in_force &&
         before->m_behind == after.m_behind;
}

}  // namespace

}  // namespace pvt

auto MakeRollout(const RolloutOptions& options)
    -> Result<std::shared_ptr<Rollout>> {
  auto state_machine = LoadBoundChart<pvt::RolloutStateMachine>(
      options.m_charts_dir, "rollout",
      {pvt::kStates, pvt::kEvents, pvt::kActions});
  if (!state_machine) {
    return tl::unexpected<Error>(state_machine.error());
  }
  auto rollout = std::make_shared<Rollout>(Rollout{
      .m_options = options, .m_state_machine = std::move(*state_machine)});
  rollout->m_state = rollout->m_state_machine.initial();
  return rollout;
}

auto OnConfigArrived(Rollout& rollout,
                     const ConfigArrived& event,
                     TimePoint now) -> RolloutStep {
  RolloutStep step;
  if (event.m_config) {
    pvt::ApplyCandidate(rollout,
                        {.m_config = event.m_config, .m_text = event.m_text},
                        now, step);
  }
  return step;
}

auto OnGenerationSeen(Rollout& rollout,
                      const HostRef& from,
                      Generation generation,
                      TimePoint now) -> RolloutStep {
  RolloutStep step;
  auto& newest = rollout.m_newest;
  if (generation <= GenerationInUse(rollout) ||
      generation < newest.m_generation ||
      rollout.m_rejected.contains(generation)) {
    return step;
  }
  if (generation == newest.m_generation && !newest.m_from.m_host.empty()) {
    newest.m_other = from == newest.m_from ? newest.m_other : from;
    return step;
  }
  newest = {.m_generation = generation, .m_from = from};
  pvt::Fire(rollout, pvt::RolloutEvent::kNewerSeen, nullptr, now, step);
  return step;
}

auto OnConfigRequest(Rollout& rollout,
                     const ConfigRequest& message,
                     TimePoint /*now*/) -> RolloutStep {
  RolloutStep step;
  if (GenerationInUse(rollout) <= message.m_have) {
    return step;
  }
  ConfigOffer offer{.m_from = rollout.m_options.m_self,
                    .m_generation = GenerationInUse(rollout),
                    .m_digest = pvt::DigestOf(rollout.m_text)};
  const auto* difference = pvt::DifferenceFrom(rollout, message.m_have);
  if (difference != nullptr && difference->size() < rollout.m_text.size()) {
    offer.m_base = message.m_have;
    offer.m_text = *difference;
  } else {
    offer.m_text = rollout.m_text;
  }
  step.m_effects.emplace_back(
      SendPeer{message.m_from.m_host, std::move(offer)});
  return step;
}

auto OnConfigOffer(Rollout& rollout, const ConfigOffer& message, TimePoint now)
    -> RolloutStep {
  RolloutStep step;
  if (message.m_generation <= GenerationInUse(rollout) ||
      rollout.m_rejected.contains(message.m_generation)) {
    return step;
  }
  auto text = pvt::TextOf(rollout, message);
  if (!text) {
    rollout.m_request_full_text = true;
    return step;
  }
  auto check = CheckConfigText(*text, message.m_generation);
  if (!check.ok()) {
    pvt::Reject(rollout, message.m_generation, check.m_problems.front(), now,
                step);
    return step;
  }
  auto config = std::make_shared<const DeskConfig>(std::move(check.m_config));
  pvt::ApplyCandidate(
      rollout, {.m_config = std::move(config), .m_text = std::move(*text)}, now,
      step);
  return step;
}

auto TickRollout(Rollout& rollout, TimePoint now) -> RolloutStep {
  RolloutStep step;
  if (now >= rollout.m_next_request) {
    pvt::Fire(rollout, pvt::RolloutEvent::kRequestDue, nullptr, now, step);
  }
  return step;
}

auto ReportRollout(Rollout& rollout,
                   const std::vector<MemberInfo>& members,
                   bool platform_reachable,
                   TimePoint now) -> RolloutStep {
  RolloutStep step;
  if (!platform_reachable) {
    rollout.m_status_current = false;
    return step;
  }
  if (!rollout.m_config || now < rollout.m_next_status) {
    return step;
  }
  auto status = pvt::MakeStatus(rollout, members);
  if (rollout.m_status_current && pvt::SameStatus(rollout.m_status, status)) {
    return step;
  }
  rollout.m_next_status = now + rollout.m_options.m_status_interval;
  rollout.m_status_current = true;
  rollout.m_status = status;
  step.m_effects.emplace_back(PutStatus{std::move(status)});
  return step;
}

auto SeedConfigRequest(const Rollout& rollout) -> std::optional<ConfigRequest> {
  if (rollout.m_config) {
    return std::nullopt;
  }
  return ConfigRequest{.m_from = rollout.m_options.m_self};
}

auto ConfigInUse(const Rollout& rollout) -> std::shared_ptr<const DeskConfig> {
  return rollout.m_config;
}

auto GenerationInUse(const Rollout& rollout) -> Generation {
  return pvt::CurrentGeneration(rollout);
}

auto DumpRollout(const Rollout& rollout, TimePoint /*now*/) -> std::string {
  auto rejected = nlohmann::json::array();
  for (const auto generation : rollout.m_rejected) {
    rejected.push_back(generation.value());
  }
  const nlohmann::json json{
      {"state", pvt::kStates[static_cast<std::size_t>(rollout.m_state)]},
      {"generation", pvt::CurrentGeneration(rollout).value()},
      {"newest_seen", rollout.m_newest.m_generation.value()},
      {"rejected", rejected},
      {"text_bytes", rollout.m_text.size()},
      {"kept_texts", rollout.m_previous_texts.size()}};
  return json.dump();
}

}  // namespace dotterelshed
