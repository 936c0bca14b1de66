#ifndef DOTTERELSHED_DOTTERELCTL_HOST_CLIENT_H_
#define DOTTERELSHED_DOTTERELCTL_HOST_CLIENT_H_

#include <string>

#include "command.h"
#include "dotterelshed/error.h"

/// @file
/// What dotterelctl asks of a host's HTTP side.

namespace dotterelshed::ctl {

/// Body of GET @p path on the host at @p address. Errors: kUnavailable.
auto GetFromHost(const std::string& address, const std::string& path)
    -> Result<std::string>;

/// POST without a body. Errors: kUnavailable.
auto PostToHost(const std::string& address, const std::string& path) -> Status;

/// Whether anything listens at @p address.
auto HostAnswers(const std::string& address) -> bool;

/// HTTP address of the host that @p options name: as it stands if it is an
/// address, else from the domain tables in the platform. Errors: kNotFound,
/// kUnavailable, kInvalidArgument without --platform.
auto ResolveHost(const CommandOptions& options) -> Result<std::string>;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_HOST_CLIENT_H_
