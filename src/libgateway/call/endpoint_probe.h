#ifndef DOTTERELSHED_ENDPOINT_PROBE_H_
#define DOTTERELSHED_ENDPOINT_PROBE_H_

#include <functional>
#include <string>

#include "entry_context.h"

/// @file
/// Tells an endpoint that is reachable and slow from one that has ended, is cut
/// off or hangs.

namespace dotterelshed {

/// Asks the endpoint at @p address for its health. @p done receives whether any
/// response arrives within @p timeout, also one that says that the endpoint is
/// not well.
auto ProbeEndpoint(EntryContext& context,
                   const EndpointId& endpoint,
                   const std::string& address,
                   Duration timeout,
                   std::function<void(bool)> done) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_ENDPOINT_PROBE_H_
