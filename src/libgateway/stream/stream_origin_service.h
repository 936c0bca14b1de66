#ifndef DOTTERELSHED_STREAM_ORIGIN_SERVICE_H_
#define DOTTERELSHED_STREAM_ORIGIN_SERVICE_H_

#include <memory>
#include <string>

#include "dotterelshed/http_listener.h"
#include "dotterelshed/stream_origins.h"

/// @file
/// A disk host's side of stream origins: keeps in memory what entry hosts tell
/// it of streams that began, and answers their questions.

namespace dotterelshed {

class StreamOriginService {
 public:
  /// Returns false if the request is about something else.
  auto Handle(const std::shared_ptr<ServerConnection>& connection,
              const IncomingRequest& request) -> bool;

 private:
  auto OnBegun(ServerConnection& connection, const std::string& body) -> void;
  auto OnQuestion(ServerConnection& connection, const std::string& body)
      -> void;

  StreamOrigins m_origins;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_STREAM_ORIGIN_SERVICE_H_
