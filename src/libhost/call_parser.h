#ifndef DOTTERELSHED_LIBHOST_CALL_PARSER_H_
#define DOTTERELSHED_LIBHOST_CALL_PARSER_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/desk_config.h"
#include "tl/expected.hpp"

/// @file
/// From a caller's HTTP request to a CallRequest.

namespace dotterelshed::pvt {

/// The HTTP request, apart from the library that read it.
struct CallerInput {
  /// Value of a header, by its lower-case name; empty if absent.
  std::function<std::string(const std::string& name)> m_header;
  std::string_view m_body;
  /// Set for /v1/services/<service>/<path>.
  ServiceId m_service;
  std::string m_path;
};

/// What the host brings to it.
struct ParseContext {
  const DeskConfig& m_config;
  DomainId m_domain;
  std::string_view m_token_secret;
  TimePoint m_now;
};

/// Why a request could not be understood, and the status to answer.
struct ParseFailure {
  ReasonCode m_reason = ReasonCode::kBadRequest;
  int m_http_status = 400;
  std::string m_message;
};

using ParsedCall = tl::expected<CallRequest, ParseFailure>;

/// A chat completion: service and model come from the body's "model".
auto ParseCompletion(const CallerInput& input, const ParseContext& context)
    -> ParsedCall;

/// A call of a plain service.
auto ParseServiceCall(const CallerInput& input, const ParseContext& context)
    -> ParsedCall;

/// Account of an Authorization header, "Bearer <account>[:<secret>]".
auto ParseAccount(const std::string& authorization, const DeskConfig& config)
    -> tl::expected<AccountId, ParseFailure>;

/// Programs that a request id chosen by a caller may belong to, one for each
/// failure domain, the nearest first.
auto ProgramsOfRequest(const RequestId& request,
                       const AccountId& account,
                       const DeskConfig& config,
                       const DomainId& own_domain) -> std::vector<ProgramId>;

}  // namespace dotterelshed::pvt

#endif  // DOTTERELSHED_LIBHOST_CALL_PARSER_H_
