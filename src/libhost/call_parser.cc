#include "call_parser.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "digests.h"
#include "dotterelshed/continuation_token.h"
#include "program_ids.h"

namespace dotterelshed::pvt {

namespace {

using Json = nlohmann::json;

constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
/// Used when a completion names no limit.
constexpr std::int64_t kDefaultMaxTokens = 1024;
/// Prompts are counted by length until the engine tells their tokens.
constexpr std::int64_t kBytesPerToken = 4;
constexpr std::size_t kMaxIdLength = 200;

auto Refuse(std::string message,
            ReasonCode reason = ReasonCode::kBadRequest,
            int status = 400) -> tl::unexpected<ParseFailure> {
  return tl::unexpected<ParseFailure>(
      ParseFailure{reason, status, std::move(message)});
}

/// A non-negative number in a header; absent if the header is.
auto ParseCount(const CallerInput& input, const std::string& name)
    -> tl::expected<std::optional<std::int64_t>, ParseFailure> {
  const auto text = input.m_header(name);
  if (text.empty()) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || rest != end || value < 0) {
    return Refuse("header " + name + ": '" + text +
                  "' is not a whole number from 0 on");
  }
  return value;
}

auto IsHeaderSafe(std::string_view text) -> bool {
  return text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

/// Reads program, parent, root and token.
auto ParseProgram(const CallerInput& input,
                  const ParseContext& context,
                  CallRequest& call) -> std::optional<ParseFailure> {
  const auto parent = input.m_header("x-dotterelshed-parent");
  const auto program = input.m_header("x-dotterelshed-program");
  const auto token = input.m_header("x-dotterelshed-token");
  if (!token.empty()) {
    auto checked = CheckToken(token, context.m_token_secret);
    if (!checked) {
      return ParseFailure{
          ReasonCode::kBadToken, kForbidden,
          "header x-dotterelshed-token: " + checked.error().m_message};
    }
    call.m_token = std::move(*checked);
    call.m_program = call.m_token->m_program;
  }
  if (!program.empty()) {
    if (call.m_token && call.m_program.value() != program) {
      return ParseFailure{
          ReasonCode::kBadToken, kConflict,
          "the token belongs to program " + call.m_program.value()};
    }
    call.m_program = ProgramId(program);
  }
  if (!parent.empty()) {
    call.m_parent = ProgramId(parent);
    if (!IsProgramId(*call.m_parent)) {
      return ParseFailure{.m_message = "header x-dotterelshed-parent: '" +
                                       parent + "' is no program id"};
    }
  }
  if (!call.m_program.empty() && !IsProgramId(call.m_program)) {
    return ParseFailure{.m_message = "header x-dotterelshed-program: '" +
                                     program + "' is no program id"};
  }
  return std::nullopt;
}

/// Hex part of the program that belongs to a request id chosen by a caller.
auto RequestHex(const AccountId& account, const RequestId& request)
    -> std::string {
  constexpr std::size_t kHexLength = 16;
  return Sha256Hex(account.value() + "\n" + request.value())
      .substr(0, kHexLength);
}

/// Gives a call that names no program a new one. A request id chosen by the
/// caller decides the program's id, so that a repeat finds the same program.
auto AssignProgram(const ParseContext& context, CallRequest& call) -> void {
  if (call.m_program.empty()) {
    const auto hex = call.m_request.empty()
                         ? RandomHex()
                         : RequestHex(call.m_account, call.m_request);
    call.m_program = call.m_parent ? NewSubProgramId(*call.m_parent, hex)
                                   : NewProgramId(context.m_domain, hex);
  }
  call.m_root = RootOf(call.m_program);
  if (call.m_request.empty()) {
    call.m_request = NewRequestId(call.m_program);
  }
}

auto ParseClass(const CallerInput& input,
                const ParseContext& context,
                CallRequest& call) -> std::optional<ParseFailure> {
  const auto name = input.m_header("x-dotterelshed-class");
  call.m_class =
      name.empty() ? context.m_config.m_default_class : ClassId(name);
  if (!context.m_config.m_classes.contains(call.m_class)) {
    return ParseFailure{ReasonCode::kUnknownService, kNotFound,
                        "there is no class '" + call.m_class.value() + "'"};
  }
  const auto& account = context.m_config.m_accounts.at(call.m_account);
  const auto& allowed = account.m_classes;
  if (!allowed.empty() && std::find(allowed.begin(), allowed.end(),
                                    call.m_class) == allowed.end()) {
    return ParseFailure{ReasonCode::kUnknownService, kForbidden,
                        "account '" + account.m_id.value() +
                            "' may not use class '" + call.m_class.value() +
                            "'"};
  }
  return std::nullopt;
}

auto ParseNumbers(const CallerInput& input,
                  const ParseContext& context,
                  CallRequest& call) -> std::optional<ParseFailure> {
  const auto turn = ParseCount(input, "x-dotterelshed-turn");
  const auto budget = ParseCount(input, "x-dotterelshed-budget");
  const auto deadline = ParseCount(input, "x-dotterelshed-deadline-ms");
  const auto pause = ParseCount(input, "x-dotterelshed-pause-ms");
  for (const auto* count : {&turn, &budget, &deadline, &pause}) {
    if (!*count) {
      return count->error();
    }
  }
  const auto& config = context.m_config.m_classes.at(call.m_class);
  call.m_turn = Turn(turn->value_or(0));
  if (*budget) {
    call.m_budget = Cost(**budget);
  }
  const auto limit = config.m_deadline;
  const auto asked =
      *deadline ? Duration(std::chrono::milliseconds(**deadline)) : limit;
  call.m_deadline = context.m_now + std::min(asked, limit);
  call.m_expected_pause = std::chrono::milliseconds(pause->value_or(0));
  return std::nullopt;
}

/// Everything that both kinds of call have in their headers.
auto ParseHeaders(const CallerInput& input,
                  const ParseContext& context,
                  CallRequest& call) -> std::optional<ParseFailure> {
  auto account =
      ParseAccount(input.m_header("authorization"), context.m_config);
  if (!account) {
    return account.error();
  }
  call.m_account = *account;
  const auto request = input.m_header("x-dotterelshed-request");
  const auto key = input.m_header("idempotency-key");
  if (!IsHeaderSafe(request) || !IsHeaderSafe(key)) {
    return ParseFailure{.m_message =
                            "request id and idempotency key take up to 200 "
                            "printable characters without spaces"};
  }
  call.m_request = RequestId(request);
  if (!key.empty()) {
    call.m_key = IdempotencyKey(call.m_account.value() + "/" + key);
  }
  call.m_end_program = input.m_header("x-dotterelshed-end") == "1";
  if (auto failure = ParseProgram(input, context, call)) {
    return failure;
  }
  if (auto failure = ParseClass(input, context, call)) {
    return failure;
  }
  if (auto failure = ParseNumbers(input, context, call)) {
    return failure;
  }
  AssignProgram(context, call);
  return std::nullopt;
}

/// Service and model that a completion's "model" names: a model's name, or a
/// service's name for that service's first model.
auto FindModel(const DeskConfig& config, const std::string& name)
    -> std::optional<std::pair<ServiceId, ModelId>> {
  for (const auto& [id, service] : config.m_services) {
    if (service.m_kind != ServiceKind::kModel) {
      continue;
    }
    for (const auto& model : service.m_models) {
      if (model.m_id.value() == name) {
        return std::pair(id, model.m_id);
      }
    }
    if (id.value() == name) {
      const auto& models = service.m_models;
      return std::pair(id, models.empty() ? ModelId(name) : models[0].m_id);
    }
  }
  return std::nullopt;
}

auto ReadMaxTokens(const Json& body) -> std::optional<std::int64_t> {
  for (const auto* key : {"max_completion_tokens", "max_tokens"}) {
    const auto found = body.find(key);
    if (found == body.end() || found->is_null()) {
      continue;
    }
    if (!found->is_number_integer() || found->get<std::int64_t>() <= 0) {
      return std::nullopt;
    }
    return found->get<std::int64_t>();
  }
  return kDefaultMaxTokens;
}

auto SetContent(CallRequest& call) -> void {
  call.m_content = Digest(Sha256Hex(call.m_service.value() + "\n" +
                                    call.m_path + "\n" + call.m_body));
}

auto SetCostBound(const ServiceConfig& service, CallRequest& call) -> void {
  call.m_cost_bound =
      service.m_price_per_call +
      service.m_price_per_prompt_token * call.m_prompt_tokens.value() +
      service.m_price_per_generated_token * call.m_max_tokens.value();
}

}  // namespace

auto ParseAccount(const std::string& authorization, const DeskConfig& config)
    -> tl::expected<AccountId, ParseFailure> {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) {
    return Refuse("send 'Authorization: Bearer <account>[:<secret>]'",
                  ReasonCode::kBadRequest, kUnauthorized);
  }
  const auto rest = authorization.substr(kScheme.size());
  const auto colon = rest.find(':');
  const AccountId account(rest.substr(0, colon));
  const auto found = config.m_accounts.find(account);
  if (found == config.m_accounts.end()) {
    return Refuse("unknown account", ReasonCode::kBadRequest, kUnauthorized);
  }
  const auto& wanted = found->second.m_key_sha256;
  const auto secret =
      colon == std::string::npos ? std::string() : rest.substr(colon + 1);
  if (!wanted.empty() && Sha256Hex(secret) != wanted) {
    return Refuse("wrong secret", ReasonCode::kBadRequest, kUnauthorized);
  }
  return account;
}

auto ParseCompletion(const CallerInput& input, const ParseContext& context)
    -> ParsedCall {
  CallRequest call{.m_kind = ServiceKind::kModel};
  if (auto failure = ParseHeaders(input, context, call)) {
    return tl::unexpected<ParseFailure>(*failure);
  }
  const auto body = Json::parse(input.m_body, nullptr, false);
  if (!body.is_object()) {
    return Refuse("the body is not a JSON object");
  }
  if (!body.contains("model") || !body["model"].is_string()) {
    return Refuse("the body has no \"model\"");
  }
  if (!body.contains("messages") || !body["messages"].is_array() ||
      body["messages"].empty()) {
    return Refuse("the body has no \"messages\"");
  }
  const auto name = body["model"].get<std::string>();
  const auto model = FindModel(context.m_config, name);
  if (!model) {
    return Refuse("there is no model '" + name + "'",
                  ReasonCode::kUnknownService, kNotFound);
  }
  const auto max_tokens = ReadMaxTokens(body);
  if (!max_tokens) {
    return Refuse("\"max_tokens\" takes a whole number from 1 on");
  }
  std::tie(call.m_service, call.m_model) = *model;
  const auto stream = body.find("stream");
  call.m_stream = stream != body.end() && stream->is_boolean() && *stream;
  call.m_body = std::string(input.m_body);
  call.m_prompt_tokens =
      Tokens(1 + static_cast<std::int64_t>(body["messages"].dump().size()) /
                     kBytesPerToken);
  call.m_max_tokens = Tokens(*max_tokens);
  call.m_repeatable = !call.m_key;
  SetCostBound(context.m_config.m_services.at(call.m_service), call);
  SetContent(call);
  return call;
}

auto ParseServiceCall(const CallerInput& input, const ParseContext& context)
    -> ParsedCall {
  CallRequest call{.m_kind = ServiceKind::kPlain};
  if (auto failure = ParseHeaders(input, context, call)) {
    return tl::unexpected<ParseFailure>(*failure);
  }
  const auto found = context.m_config.m_services.find(input.m_service);
  if (found == context.m_config.m_services.end() ||
      found->second.m_kind != ServiceKind::kPlain) {
    return Refuse("there is no plain service '" + input.m_service.value() + "'",
                  ReasonCode::kUnknownService, kNotFound);
  }
  const auto& service = found->second;
  call.m_service = input.m_service;
  call.m_path = input.m_path;
  call.m_body = std::string(input.m_body);
  const auto own_request = ProgramOf(call.m_request).empty();
  if (!service.m_repeatable && !call.m_key && own_request) {
    // Sent again through another domain it would be another program, so the
    // caller's request id has to tell that it is the same call.
    call.m_key = IdempotencyKey(call.m_account.value() + "/request/" +
                                call.m_request.value());
  }
  call.m_repeatable = service.m_repeatable && !call.m_key;
  SetCostBound(service, call);
  SetContent(call);
  return call;
}

auto ProgramsOfRequest(const RequestId& request,
                       const AccountId& account,
                       const DeskConfig& config,
                       const DomainId& own_domain) -> std::vector<ProgramId> {
  std::set<DomainId> domains;
  for (const auto& [id, service] : config.m_services) {
    for (const auto& endpoint : service.m_endpoints) {
      domains.insert(endpoint.m_domain);
    }
  }
  domains.erase(own_domain);
  const auto hex = RequestHex(account, request);
  std::vector<ProgramId> programs{NewProgramId(own_domain, hex)};
  for (const auto& domain : domains) {
    programs.push_back(NewProgramId(domain, hex));
  }
  return programs;
}

}  // namespace dotterelshed::pvt
