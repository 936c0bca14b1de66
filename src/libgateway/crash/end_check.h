#ifndef DOTTERELSHED_END_CHECK_H_
#define DOTTERELSHED_END_CHECK_H_

#include "entry_context.h"

/// @file
/// Finds out whether an endpoint has ended whose connection broke while it
/// answered. The platform goes on to list an endpoint for some seconds after
/// its end, longer than a request may be sent to further ones. A refused
/// connection shows that nothing listens there any more, if this host reaches
/// another endpoint of the same failure domain at that moment.

namespace dotterelshed {

/// Begins to check an endpoint, and notes its end in the crash ledger if that
/// is shown. Does nothing while the endpoint is being checked.
auto CheckForEnd(EntryContext& context, const EndpointId& endpoint) -> void;

}  // namespace dotterelshed

#endif  // DOTTERELSHED_END_CHECK_H_
