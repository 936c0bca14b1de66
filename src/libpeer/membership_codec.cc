#include "membership_codec.h"

#include <string>
#include <vector>

#include "call_codec.h"

namespace dotterelshed {

namespace {

auto ToString(capnp::Text::Reader text) -> std::string {
  return {text.cStr(), text.size()};
}

template <typename Id>
auto EncodeIds(const std::vector<Id>& ids,
               capnp::List<capnp::Text>::Builder out) -> void {
  for (auto i = 0U; i < ids.size(); ++i) {
    out.set(i, ids[i].value().c_str());
  }
}

template <typename Id>
auto DecodeIds(capnp::List<capnp::Text>::Reader in) -> std::vector<Id> {
  std::vector<Id> ids;
  ids.reserve(in.size());
  for (const auto text : in) {
    ids.emplace_back(ToString(text));
  }
  return ids;
}

template <typename Values, typename Builder>
auto EncodeList(const Values& values, Builder out) -> void {
  auto i = 0U;
  for (const auto& value : values) {
    Encode(value, out[i++]);
  }
}

auto EncodeMembers(const DomainTable& value, schema::DomainTable::Builder out)
    -> void {
  auto members = out.initMembers(value.m_members.size());
  auto i = 0U;
  for (const auto& [host, record] : value.m_members) {
    auto member = members[i++];
    member.setHost(host.value().c_str());
    member.setIncarnation(record.m_incarnation.value());
    Encode(record.m_addresses, member.initAddresses());
  }
}

auto EncodePools(const DomainTable& value, schema::DomainTable::Builder out)
    -> void {
  auto pools = out.initPools(value.m_pools.size());
  auto i = 0U;
  for (const auto& [id, pool] : value.m_pools) {
    Encode(pool, pools[i++]);
  }
}

}  // namespace

auto Encode(const HostAddresses& value, schema::HostAddresses::Builder out)
    -> void {
  out.setPeer(value.m_peer.c_str());
  out.setHttp(value.m_http.c_str());
}

auto Decode(schema::HostAddresses::Reader in) -> HostAddresses {
  return {.m_peer = ToString(in.getPeer()), .m_http = ToString(in.getHttp())};
}

auto Encode(const Heartbeat& value, schema::Heartbeat::Builder out) -> void {
  WriteHostRef(value.m_from, out.initFrom());
  out.setDomain(value.m_domain.value().c_str());
  Encode(value.m_addresses, out.initAddresses());
  out.setTableVersion(value.m_table_version.value());
  out.setGeneration(value.m_generation.value());
  out.setHasDisk(value.m_has_disk);
  out.setDraining(value.m_draining);
  EncodeIds(value.m_quarantined,
            out.initQuarantined(value.m_quarantined.size()));
  out.setHeadroom(value.m_headroom);
  out.setNewsSeen(value.m_updates_seen);
  EncodeIds(value.m_unconfirmed,
            out.initUnconfirmed(value.m_unconfirmed.size()));
  EncodeIds(value.m_pinned, out.initPinned(value.m_pinned.size()));
}

auto Decode(schema::Heartbeat::Reader in) -> Heartbeat {
  return {.m_from = ReadHostRef(in.getFrom()),
          .m_domain = DomainId(ToString(in.getDomain())),
          .m_addresses = Decode(in.getAddresses()),
          .m_table_version = ResourceVersion(in.getTableVersion()),
          .m_generation = Generation(in.getGeneration()),
          .m_has_disk = in.getHasDisk(),
          .m_draining = in.getDraining(),
          .m_quarantined = DecodeIds<Digest>(in.getQuarantined()),
          .m_headroom = in.getHeadroom(),
          .m_updates_seen = in.getNewsSeen(),
          .m_unconfirmed = DecodeIds<PoolId>(in.getUnconfirmed()),
          .m_pinned = DecodeIds<PoolId>(in.getPinned())};
}

auto Encode(const MemberInfo& value, schema::MemberInfo::Builder out) -> void {
  WriteHostRef(value.m_host, out.initHost());
  Encode(value.m_addresses, out.initAddresses());
  out.setAlive(value.m_alive);
  out.setDraining(value.m_draining);
  out.setHasDisk(value.m_has_disk);
  out.setGeneration(value.m_generation.value());
  out.setHeadroom(value.m_headroom);
}

auto Decode(schema::MemberInfo::Reader in) -> MemberInfo {
  return {.m_host = ReadHostRef(in.getHost()),
          .m_addresses = Decode(in.getAddresses()),
          .m_alive = in.getAlive(),
          .m_draining = in.getDraining(),
          .m_has_disk = in.getHasDisk(),
          .m_generation = Generation(in.getGeneration()),
          .m_headroom = in.getHeadroom()};
}

auto Encode(const PoolAssignment& value, schema::PoolAssignment::Builder out)
    -> void {
  out.setPool(value.m_pool.value().c_str());
  out.setTerm(value.m_term.value());
  out.setPrimarySince(value.m_primary_since.value());
  WriteHostRef(value.m_primary, out.initPrimary());
  WriteHostRef(value.m_holder, out.initHolder());
}

auto Decode(schema::PoolAssignment::Reader in) -> PoolAssignment {
  return {.m_pool = PoolId(ToString(in.getPool())),
          .m_term = Term(in.getTerm()),
          .m_primary_since = Term(in.getPrimarySince()),
          .m_primary = ReadHostRef(in.getPrimary()),
          .m_holder = ReadHostRef(in.getHolder())};
}

auto Encode(const DomainTable& value, schema::DomainTable::Builder out)
    -> void {
  out.setDomain(value.m_domain.value().c_str());
  out.setVersion(value.m_version.value());
  out.setLeadTerm(value.m_lead_term.value());
  WriteHostRef(value.m_lead, out.initLead());
  out.setGeneration(value.m_generation.value());
  out.setHighestTerm(value.m_highest_term.value());
  EncodePools(value, out);
  EncodeMembers(value, out);
}

auto Decode(schema::DomainTable::Reader in) -> DomainTable {
  DomainTable table;
  table.m_domain = DomainId(ToString(in.getDomain()));
  table.m_version = ResourceVersion(in.getVersion());
  table.m_lead_term = Term(in.getLeadTerm());
  table.m_lead = ReadHostRef(in.getLead());
  table.m_generation = Generation(in.getGeneration());
  table.m_highest_term = Term(in.getHighestTerm());
  for (const auto pool : in.getPools()) {
    auto assignment = Decode(pool);
    const auto id = assignment.m_pool;
    table.m_pools.emplace(id, std::move(assignment));
  }
  for (const auto member : in.getMembers()) {
    table.m_members.emplace(
        HostId(ToString(member.getHost())),
        MemberRecord{.m_incarnation = Incarnation(member.getIncarnation()),
                     .m_addresses = Decode(member.getAddresses())});
  }
  return table;
}

auto Encode(const DomainDigest& value, schema::DomainDigest::Builder out)
    -> void {
  WriteHostRef(value.m_from, out.initFrom());
  if (value.m_table) {
    Encode(*value.m_table, out.initTable());
  }
  out.setHasTableBase(value.m_table_base.has_value());
  out.setTableBase(value.m_table_base.value_or(ResourceVersion()).value());
  EncodeIds(value.m_removed_pools,
            out.initRemovedPools(value.m_removed_pools.size()));
  EncodeIds(value.m_removed_members,
            out.initRemovedMembers(value.m_removed_members.size()));
  out.setTableVersion(value.m_table_version.value());
  out.setGeneration(value.m_generation.value());
  out.setNews(value.m_update_number);
  out.setAllMembers(value.m_all_members);
  EncodeList(value.m_members, out.initMembers(value.m_members.size()));
  EncodeList(value.m_remote_tables,
             out.initRemoteTables(value.m_remote_tables.size()));
  EncodeIds(value.m_quarantined,
            out.initQuarantined(value.m_quarantined.size()));
  EncodeIds(value.m_unconfirmed,
            out.initUnconfirmed(value.m_unconfirmed.size()));
  EncodeIds(value.m_leaving_endpoints,
            out.initLeavingEndpoints(value.m_leaving_endpoints.size()));
  EncodeIds(value.m_staying_endpoints,
            out.initStayingEndpoints(value.m_staying_endpoints.size()));
  out.setLeadHeard(value.m_lead_heard);
  out.setPlatformReachable(value.m_platform_reachable);
}

auto Decode(schema::DomainDigest::Reader in) -> DomainDigest {
  DomainDigest digest;
  digest.m_from = ReadHostRef(in.getFrom());
  if (in.hasTable()) {
    digest.m_table = Decode(in.getTable());
  }
  if (in.getHasTableBase()) {
    digest.m_table_base = ResourceVersion(in.getTableBase());
  }
  digest.m_removed_pools = DecodeIds<PoolId>(in.getRemovedPools());
  digest.m_removed_members = DecodeIds<HostId>(in.getRemovedMembers());
  digest.m_table_version = ResourceVersion(in.getTableVersion());
  digest.m_generation = Generation(in.getGeneration());
  digest.m_update_number = in.getNews();
  digest.m_all_members = in.getAllMembers();
  for (const auto member : in.getMembers()) {
    digest.m_members.push_back(Decode(member));
  }
  for (const auto table : in.getRemoteTables()) {
    digest.m_remote_tables.push_back(Decode(table));
  }
  digest.m_quarantined = DecodeIds<Digest>(in.getQuarantined());
  digest.m_unconfirmed = DecodeIds<PoolId>(in.getUnconfirmed());
  digest.m_leaving_endpoints = DecodeIds<EndpointId>(in.getLeavingEndpoints());
  digest.m_staying_endpoints = DecodeIds<EndpointId>(in.getStayingEndpoints());
  digest.m_lead_heard = in.getLeadHeard();
  digest.m_platform_reachable = in.getPlatformReachable();
  return digest;
}

auto Encode(const DomainStatus& value, schema::DomainStatus::Builder out)
    -> void {
  out.setDomain(value.m_domain.value().c_str());
  out.setInForce(value.m_in_force.value());
  EncodeIds(value.m_behind, out.initBehind(value.m_behind.size()));
}

auto Decode(schema::DomainStatus::Reader in) -> DomainStatus {
  return {.m_domain = DomainId(ToString(in.getDomain())),
          .m_in_force = Generation(in.getInForce()),
          .m_behind = DecodeIds<HostId>(in.getBehind())};
}

auto Encode(const ConfigRequest& value, schema::ConfigRequest::Builder out)
    -> void {
  WriteHostRef(value.m_from, out.initFrom());
  out.setHave(value.m_have.value());
}

auto Decode(schema::ConfigRequest::Reader in) -> ConfigRequest {
  return {.m_from = ReadHostRef(in.getFrom()),
          .m_have = Generation(in.getHave())};
}

auto Encode(const ConfigOffer& value, schema::ConfigOffer::Builder out)
    -> void {
  WriteHostRef(value.m_from, out.initFrom());
  out.setGeneration(value.m_generation.value());
  out.setHasBase(value.m_base.has_value());
  out.setBase(value.m_base.value_or(Generation()).value());
  out.setText(
      kj::StringPtr(value.m_text.c_str(), value.m_text.size()).asBytes());
  out.setDigest(value.m_digest.value().c_str());
}

auto Decode(schema::ConfigOffer::Reader in) -> ConfigOffer {
  ConfigOffer offer;
  offer.m_from = ReadHostRef(in.getFrom());
  offer.m_generation = Generation(in.getGeneration());
  if (in.getHasBase()) {
    offer.m_base = Generation(in.getBase());
  }
  const auto text = in.getText().asChars();
  offer.m_text.assign(text.begin(), text.size());
  offer.m_digest = Digest(ToString(in.getDigest()));
  return offer;
}

}  // namespace dotterelshed
