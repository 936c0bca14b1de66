#include "stream/stream_origin_service.h"

#include "dotterelshed/http_status.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"
#include "stream/stream_messages.h"

namespace dotterelshed {

auto StreamOriginService::Handle(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> bool {
  if (request.m_head.m_target == kStreamBegunPath) {
    OnBegun(*connection, request.m_body);
  } else if (request.m_head.m_target == kStreamQuestionPath) {
    OnQuestion(*connection, request.m_body);
  } else {
    return false;
  }
  return true;
}

auto StreamOriginService::OnBegun(ServerConnection& connection,
                                  const std::string& body) -> void {
  const auto begun = DecodeStreamBegun(body);
  if (!begun) {
    connection.Answer(kStatusBadRequest, {}, begun.error().m_message);
    return;
  }
  const auto now = SteadyTime();
  AddOrigin(
      m_origins, begun->m_attempt,
      {.m_software = begun->m_software, .m_expires = now + begun->m_lifetime},
      now);
  connection.Answer(kStatusOk, {}, "");
}

auto StreamOriginService::OnQuestion(ServerConnection& connection,
                                     const std::string& body) -> void {
  const auto question = DecodeStreamQuestion(body);
  if (!question) {
    connection.Answer(kStatusBadRequest, {}, question.error().m_message);
    return;
  }
  const auto software =
      FindOrigin(m_origins, question->m_attempt, SteadyTime());
  connection.Answer(kStatusOk, {},
                    EncodeStreamAnswer({.m_software = software}));
}

}  // namespace dotterelshed
