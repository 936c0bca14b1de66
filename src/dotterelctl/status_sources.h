#ifndef DOTTERELSHED_DOTTERELCTL_STATUS_SOURCES_H_
#define DOTTERELSHED_DOTTERELCTL_STATUS_SOURCES_H_

#include <string>
#include <vector>

#include "status_report.h"

/// @file
/// Asks the platform and hosts for what a status report needs.

namespace dotterelshed::ctl {

/// Reads everything from the platform; m_error says why something is missing.
auto ReadPlatformView(const std::string& address) -> PlatformView;

/// Asks hosts, several at a time. The views are in the order of @p addresses.
auto ReadHostViews(const std::vector<std::string>& addresses)
    -> std::vector<HostView>;

/// HTTP addresses of all hosts in @p tables.
auto HostAddressesOf(const std::vector<DomainTable>& tables)
    -> std::vector<std::string>;

}  // namespace dotterelshed::ctl

#endif  // DOTTERELSHED_DOTTERELCTL_STATUS_SOURCES_H_
