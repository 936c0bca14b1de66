#ifndef DOTTERELSHED_LIBPEER_MEMBERSHIP_CODEC_H_
#define DOTTERELSHED_LIBPEER_MEMBERSHIP_CODEC_H_

#include "dotterelshed/membership_messages.h"
#include "membership.capnp.h"

/// @file
/// Between membership_messages.h and its wire form. Encode fills a builder,
/// Decode reads a message that may come from an older or newer process: fields
/// that it lacks keep their defaults.

namespace dotterelshed {

auto Encode(const HostAddresses& value, schema::HostAddresses::Builder out)
    -> void;
auto Encode(const Heartbeat& value, schema::Heartbeat::Builder out) -> void;
auto Encode(const MemberInfo& value, schema::MemberInfo::Builder out) -> void;
auto Encode(const PoolAssignment& value, schema::PoolAssignment::Builder out)
    -> void;
auto Encode(const DomainTable& value, schema::DomainTable::Builder out) -> void;
auto Encode(const DomainDigest& value, schema::DomainDigest::Builder out)
    -> void;
auto Encode(const DomainStatus& value, schema::DomainStatus::Builder out)
    -> void;
auto Encode(const ConfigRequest& value, schema::ConfigRequest::Builder out)
    -> void;
auto Encode(const ConfigOffer& value, schema::ConfigOffer::Builder out) -> void;

auto Decode(schema::HostAddresses::Reader in) -> HostAddresses;
auto Decode(schema::Heartbeat::Reader in) -> Heartbeat;
auto Decode(schema::MemberInfo::Reader in) -> MemberInfo;
auto Decode(schema::PoolAssignment::Reader in) -> PoolAssignment;
auto Decode(schema::DomainTable::Reader in) -> DomainTable;
auto Decode(schema::DomainDigest::Reader in) -> DomainDigest;
auto Decode(schema::DomainStatus::Reader in) -> DomainStatus;
auto Decode(schema::ConfigRequest::Reader in) -> ConfigRequest;
auto Decode(schema::ConfigOffer::Reader in) -> ConfigOffer;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_LIBPEER_MEMBERSHIP_CODEC_H_
