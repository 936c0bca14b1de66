#ifndef DOTTERELSHED_LIBHOST_HTTP_SERVER_H_
#define DOTTERELSHED_LIBHOST_HTTP_SERVER_H_

#include <memory>
#include <string>

#include "dotterelshed/error.h"
#include "dotterelshed/settings.h"

namespace httplib {
class Server;
}

/// @file
/// The HTTP server of a host, without its routes.

namespace dotterelshed::pvt {

/// Makes a server with a thread per open request, up to the settings' limit
/// and some for operators.
auto MakeHttpServer(const Settings& settings)
    -> std::unique_ptr<httplib::Server>;

/// Binds @p server to @p address, "IP:port"; port 0 lets the system choose.
/// Connections queue from then on. Returns the address with its port.
auto BindHttpServer(httplib::Server& server, const std::string& address)
    -> Result<std::string>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_HTTP_SERVER_H_
