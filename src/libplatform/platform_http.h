#ifndef DOTTERELSHED_LIBPLATFORM_PLATFORM_HTTP_H_
#define DOTTERELSHED_LIBPLATFORM_PLATFORM_HTTP_H_

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <string>

#include "dotterelshed/platform_client.h"

/// @file
/// What the calls and the watch of the platform client share.

namespace dotterelshed::pvt {

using Json = nlohmann::json;

/// Counts one call by this process; the verbs are those of PlatformCallCounts.
enum class PlatformVerb { kGet, kList, kPut, kDelete, kWatch };
auto CountCall(PlatformVerb verb) -> void;

/// A client with the timeouts of @p options. Each call uses a new connection,
/// so that none waits on one that has gone silent.
auto MakeClient(const PlatformOptions& options, Duration read_timeout)
    -> httplib::Client;

/// "/apis/dotterelshed/v1/KIND" or ".../KIND/NAME".
auto ObjectPath(const std::string& kind, const std::string& name = "")
    -> std::string;

/// Reads one object of the API. Fails with kInternal on a malformed one.
auto ParseObject(const Json& json) -> Result<PlatformObject>;

/// Maps an HTTP status that is not a success to an Error.
auto StatusError(int status, const std::string& place) -> tl::unexpected<Error>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBPLATFORM_PLATFORM_HTTP_H_
