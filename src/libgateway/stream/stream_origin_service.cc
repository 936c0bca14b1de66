#include "stream/stream_origin_service.h"

#include "dotterelshed/http_status.h"
#include "dotterelshed/steady_time.h"
#include "peer_call.h"
#include "stream/stream_messages.h"

namespace dotterelshed {

auto StreamOriginService::Handle(
    const std::shared_ptr<ServerConnection>& connection,
    const IncomingRequest& request) -> bool {
  const auto now = SteadyTime();
  const auto reject = [&connection](const Error& error) {
    connection->Answer(kStatusBadRequest, {}, error.m_message);
    return true;
  };
  if (request.m_head.m_target == kStreamBegunPath) {
    const auto begun = DecodeStreamBegun(request.m_body);
    if (!begun) {
      return reject(begun.error());
    }
    AddOrigin(
        m_origins, begun->m_attempt,
        {.m_software = begun->m_software, .m_expires = now + begun->m_lifetime},
        now);
    connection->Answer(kStatusOk, {}, "");
    return true;
  }
  if (request.m_head.m_target == kStreamQuestionPath) {
    const auto question = DecodeStreamQuestion(request.m_body);
    if (!question) {
      return reject(question.error());
    }
    connection->Answer(
        kStatusOk, {},
        EncodeStreamAnswer(
            {.m_software = FindOrigin(m_origins, question->m_attempt, now)}));
    return true;
  }
  return false;
}

}  // namespace dotterelshed
