#ifndef DOTTERELSHED_LIBCORE_OWNERSHIP_FAKE_DOMAIN_H_
#define DOTTERELSHED_LIBCORE_OWNERSHIP_FAKE_DOMAIN_H_

#include <functional>
#include <set>
#include <string>
#include <variant>

#include "dotterelshed/ownership.h"
#include "fake_platform.h"

/// @file
/// For tests only: simulation of the hosts of failure domains with their pool
/// ownership, on a network and a platform with injected faults. Time is
/// simulated.

namespace dotterelshed::testing {

struct FakeHost {
  std::shared_ptr<Ownership> m_ownership;
  HostRef m_self;
  DomainId m_domain;
  bool m_running = true;
  TimePoint m_paused_until;
  bool m_cut_from_platform = false;
  int m_lead_duty = 0;
};

struct FakeDomainOptions {
  std::uint64_t m_seed = 1;
  int m_domains = 1;
  int m_hosts = 4;
  int m_endpoints = 200;
  Duration m_tick = std::chrono::milliseconds(50);
};

class FakeDomain {
 public:
  explicit FakeDomain(const FakeDomainOptions& options)
      : m_options(options), m_random(options.m_seed) {
    MakeConfig(1, options.m_endpoints);
    for (auto d = 0; d < options.m_domains; ++d) {
      for (auto i = 0; i < options.m_hosts; ++i) {
        Start(HostName(d, i), Domain(d));
      }
    }
  }

  static auto Domain(int domain) -> DomainId {
    return DomainId("d" + std::to_string(domain));
  }
  static auto HostName(int domain, int index) -> HostId {
    return HostId("d" + std::to_string(domain) + "h" + std::to_string(index));
  }

  /// One service with @p endpoints endpoints in each domain.
  auto MakeConfig(int generation, int endpoints) -> void {
    m_config.m_generation = Generation(generation);
    auto& service = m_config.m_services[ServiceId("s")];
    service.m_endpoints.clear();
    for (auto d = 0; d < m_options.m_domains; ++d) {
      for (auto i = 0; i < endpoints; ++i) {
        service.m_endpoints.push_back(
            {.m_id = EndpointId("e" + std::to_string(i)),
             .m_domain = Domain(d)});
      }
    }
  }

  /// Starts a host, or restarts it without any state.
  auto Start(const HostId& id, const DomainId& domain, bool has_disk = false)
      -> void {
    auto& host = m_hosts[id];
    const auto incarnation = host.m_self.m_incarnation.Next();
    host = {.m_self = {.m_host = id, .m_incarnation = incarnation},
            .m_domain = domain};
    host.m_ownership = *MakeOwnership(
        {.m_self = host.m_self,
         .m_domain = domain,
         .m_addresses = {.m_peer = "peer of " + id.value(), .m_http = "http"},
         .m_has_disk = has_disk,
         .m_seed = m_options.m_seed,
         .m_charts_dir = DOTTERELSHED_CHARTS_DIR});
    ApplyStep(host, SetOwnershipConfig(*host.m_ownership, m_config, m_now));
  }

  auto Stop(const HostId& id) -> void { m_hosts[id].m_running = false; }
  auto Pause(const HostId& id, Duration span) -> void {
    m_hosts[id].m_paused_until = m_now + span;
  }
  auto Drain(const HostId& id) -> void {
    auto& host = m_hosts[id];
    ApplyStep(host, StartDrain(*host.m_ownership, m_now));
  }
  auto Configure(const HostId& id) -> void {
    auto& host = m_hosts[id];
    ApplyStep(host, SetOwnershipConfig(*host.m_ownership, m_config, m_now));
  }

  auto Run(Duration span) -> void {
    const auto until = m_now + span;
    while (m_now < until) {
      const auto next = std::min(until, m_now + m_options.m_tick);
      while (auto due = m_events.Take(next)) {
        m_now = std::max(m_now, due->first);
        std::visit([this](const auto& event) { Handle(event); }, due->second);
      }
      m_now = next;
      for (auto& [id, host] : m_hosts) {
        if (IsUp(host)) {
          ApplyStep(host, TickOwnership(*host.m_ownership, m_now));
          SendSeedHeartbeat(host);
        }
      }
    }
  }

  auto IsUp(const FakeHost& host) const -> bool {
    return host.m_running && m_now >= host.m_paused_until;
  }
  auto Table(int domain = 0) const -> const DomainTable& {
    return m_store.objects().at(Domain(domain));
  }
  auto Lead(int domain = 0) const -> HostId {
    return Table(domain).m_lead.m_host;
  }
  auto Host(const HostId& id) -> FakeHost& { return m_hosts.at(id); }
  auto OwnershipOf(const HostId& id) -> Ownership& {
    return *m_hosts.at(id).m_ownership;
  }

  /// Called after each step of a host.
  std::function<void(const FakeHost&)> m_check = [](const FakeHost&) {};

  /// Called for each digest that a host receives.
  std::function<void(const HostId&, const DomainDigest&)> m_on_digest =
      [](const HostId&, const DomainDigest&) {};

  bool m_outage = false;
  int m_lose_percent = 0;
  int m_duplicate_percent = 0;
  int m_lost_answer_percent = 0;
  /// Messages between these pairs are lost in both directions.
  std::set<std::pair<HostId, HostId>> m_cut;
  Duration m_max_delay{std::chrono::milliseconds(5)};

  std::map<HostId, FakeHost> m_hosts;
  FakeStore<DomainId, DomainTable> m_store;
  DeskConfig m_config;
  FakeDomainOptions m_options;
  RandomSource m_random;
  TimePoint m_now{std::chrono::seconds(1000)};
  int m_reads = 0;
  int m_puts = 0;
  int m_heartbeats = 0;

 private:
  struct Delivery {
    HostId m_to;
    Incarnation m_incarnation;
    std::variant<Heartbeat, DomainDigest, TableArrived> m_message;
  };
  struct PlatformOp {
    HostRef m_from;
    DomainId m_domain;
    std::optional<DomainTable> m_put;
  };
  using ScheduledEvent = std::variant<Delivery, PlatformOp>;

  auto Delay() -> Duration {
    return m_random.Between(std::chrono::milliseconds(1), m_max_delay);
  }

  auto ApplyStep(FakeHost& host, const OwnershipStep& step) -> void {
    for (const auto& effect : step.m_effects) {
      if (const auto* send = std::get_if<SendPeer>(&effect)) {
        std::visit(
            [&](const auto& message) { Send(host, send->m_to, message); },
            send->m_message);
      } else if (const auto* read = std::get_if<ReadTable>(&effect)) {
        ++m_reads;
        m_events.Add(m_now + Delay(),
                     PlatformOp{host.m_self, read->m_domain, std::nullopt});
      } else if (const auto* put = std::get_if<PutTable>(&effect)) {
        ++m_puts;
        m_events.Add(m_now + Delay(),
                     PlatformOp{host.m_self, host.m_domain, put->m_table});
      } else if (const auto* duty = std::get_if<SetLeadDuty>(&effect)) {
        host.m_lead_duty += duty->m_active ? 1 : -1;
      }
    }
    m_check(host);
  }

  template <typename Message>
  auto Send(const FakeHost& from, const HostId& to, const Message& message)
      -> void {
    if constexpr (std::is_same_v<Message, Heartbeat> ||
                  std::is_same_v<Message, DomainDigest>) {
      m_heartbeats += std::is_same_v<Message, Heartbeat> ? 1 : 0;
      const auto& self = from.m_self.m_host;
      const auto found = m_hosts.find(to);
      if (found == m_hosts.end() || m_cut.contains({self, to}) ||
          m_cut.contains({to, self}) ||
          m_random.Chance(static_cast<std::uint32_t>(m_lose_percent))) {
        return;
      }
      const Delivery delivery{to, found->second.m_self.m_incarnation, message};
      m_events.Add(m_now + Delay(), delivery);
      if (m_random.Chance(static_cast<std::uint32_t>(m_duplicate_percent))) {
        m_events.Add(m_now + Delay(), delivery);
      }
    }
  }

  auto SendSeedHeartbeat(const FakeHost& host) -> void {
    const auto heartbeat = SeedHeartbeat(*host.m_ownership);
    if (heartbeat && m_random.Chance(10)) {
      auto to = m_hosts.begin();
      std::advance(to,
                   m_random.Below(static_cast<std::uint32_t>(m_hosts.size())));
      Send(host, to->first, *heartbeat);
    }
  }

  auto Handle(const Delivery& delivery) -> void {
    auto& host = m_hosts.at(delivery.m_to);
    if (!host.m_running ||
        host.m_self.m_incarnation != delivery.m_incarnation) {
      return;
    }
    if (!IsUp(host)) {
      m_events.Add(host.m_paused_until, delivery);
      return;
    }
    std::visit([&](const auto& message) { Deliver(host, message); },
               delivery.m_message);
  }

  auto Deliver(FakeHost& host, const Heartbeat& message) -> void {
    ApplyStep(host, OnHeartbeat(*host.m_ownership, message, m_now));
  }
  auto Deliver(FakeHost& host, const DomainDigest& message) -> void {
    m_on_digest(host.m_self.m_host, message);
    ApplyStep(host, OnDigest(*host.m_ownership, message, m_now));
  }
  auto Deliver(FakeHost& host, const TableArrived& event) -> void {
    ApplyStep(host, OnTableArrived(*host.m_ownership, event, m_now));
  }

  auto Handle(const PlatformOp& op) -> void {
    const auto& host = m_hosts.at(op.m_from.m_host);
    TableArrived event{op.m_domain, Fail(ErrorCode::kUnavailable, "outage"),
                       op.m_put.has_value()};
    if (!m_outage && !host.m_cut_from_platform) {
      event.m_table = op.m_put ? m_store.Put(op.m_domain, *op.m_put)
                               : m_store.Read(op.m_domain);
      if (m_random.Chance(static_cast<std::uint32_t>(m_lost_answer_percent))) {
        event.m_table = Fail(ErrorCode::kTimeout, "response lost");
      }
      Publish(op, event);
    }
    m_events.Add(m_now + Delay(),
                 Delivery{op.m_from.m_host, op.m_from.m_incarnation, event});
  }

  /// Sends a changed table to all leads, which watch the tables of all domains.
  /// A lead is the host that leads its failure domain.
  auto Publish(const PlatformOp& op, const TableArrived& event) -> void {
    if (!op.m_put || !event.m_table) {
      return;
    }
    for (const auto& [id, host] : m_hosts) {
      if (host.m_lead_duty > 0 && !host.m_cut_from_platform) {
        m_events.Add(m_now + Delay(),
                     Delivery{id, host.m_self.m_incarnation,
                              TableArrived{op.m_domain, event.m_table, false}});
      }
    }
  }

  EventQueue<ScheduledEvent> m_events;
};

}  // namespace dotterelshed::testing

#endif  // DOTTERELSHED_LIBCORE_OWNERSHIP_FAKE_DOMAIN_H_
