#include "desk_compiler.h"

#include "node_reader.h"
#include "text_values.h"

namespace dotterelshed::pvt {

namespace {

constexpr std::int64_t kTokensPerPrice = 1000000;

auto CompileModel(const TextNode& node) -> ModelConfig {
  ModelConfig model;
  model.m_id = ModelId(ReadText(node, "name"));
  model.m_version = ReadText(node, "version");
  if (node.Find("base") != nullptr) {
    model.m_base = ModelId(ReadText(node, "base"));
  }
  return model;
}

/// Adds the endpoints that one entry stands for.
auto CompileEndpoints(const TextNode& node, ServiceConfig& service) -> void {
  const auto count = ReadCount(node, "count", 1);
  const auto name = ReadText(node, "name");
  auto address =
      ParseAddress(ReadText(node, "address")).value_or(SocketAddress{});
  EndpointConfig endpoint;
  endpoint.m_domain = DomainId(ReadText(node, "domain"));
  endpoint.m_max_concurrency = static_cast<int>(
      ReadCount(node, "max_concurrency", endpoint.m_max_concurrency));
  endpoint.m_kv_capacity = Tokens(ReadCount(node, "kv_tokens", 0));
  for (auto i = std::int64_t{1}; i <= count; ++i) {
    endpoint.m_id =
        EndpointId(count == 1 ? name : name + "-" + std::to_string(i));
    endpoint.m_address = FormatAddress(address);
    service.m_endpoints.push_back(endpoint);
    ++address.m_ip;
  }
}

auto CompilePrice(const TextNode& node,
                  const std::string& currency,
                  ServiceConfig& service) -> void {
  const auto* price = node.Find("price");
  if (price == nullptr) {
    return;
  }
  const auto prompt = ReadMoney(*price, "per_million_prompt_tokens", currency);
  const auto generated =
      ReadMoney(*price, "per_million_generated_tokens", currency);
  service.m_price_per_prompt_token = Cost(prompt.value() / kTokensPerPrice);
  service.m_price_per_generated_token =
      Cost(generated.value() / kTokensPerPrice);
  service.m_price_per_call = ReadMoney(*price, "per_call", currency);
}

auto CompileService(const TextNode& node, const std::string& currency)
    -> ServiceConfig {
  ServiceConfig service;
  service.m_id = ServiceId(ReadText(node, "name"));
  service.m_kind = ReadText(node, "kind") == "plain" ? ServiceKind::kPlain
                                                     : ServiceKind::kModel;
  for (const auto& name : ReadTexts(node, "depends_on")) {
    service.m_depends_on.emplace_back(name.m_text);
  }
  service.m_repeatable =
      ReadBoolean(node, "repeatable", service.m_kind == ServiceKind::kModel);
  service.m_checks_fencing = ReadBoolean(node, "checks_fencing", false);
  service.m_timeout = ReadDuration(node, "timeout", service.m_timeout);
  service.m_progress_timeout =
      ReadDuration(node, "progress_timeout", service.m_progress_timeout);
  CompilePrice(node, currency, service);
  for (const auto& model : ReadItems(node, "models")) {
    service.m_models.push_back(CompileModel(model));
  }
  for (const auto& endpoint : ReadItems(node, "endpoints")) {
    CompileEndpoints(endpoint, service);
  }
  return service;
}

auto CompileClass(const TextNode& node, const std::string& currency)
    -> ClassConfig {
  ClassConfig result;
  result.m_id = ClassId(ReadText(node, "name"));
  result.m_weight =
      static_cast<int>(ReadCount(node, "weight", result.m_weight));
  result.m_deadline = ReadDuration(node, "deadline", result.m_deadline);
  result.m_budget = ReadMoney(node, "budget", currency);
  result.m_max_turns =
      static_cast<int>(ReadCount(node, "max_turns", result.m_max_turns));
  result.m_idle_limit = ReadDuration(node, "idle_limit", result.m_idle_limit);
  result.m_repeat_limit =
      static_cast<int>(ReadCount(node, "repeat_limit", result.m_repeat_limit));
  return result;
}

auto CompileAccount(const TextNode& node, const DeskConfig& config)
    -> AccountConfig {
  AccountConfig account;
  account.m_id = AccountId(ReadText(node, "name"));
  account.m_key_sha256 = ReadText(node, "key_sha256");
  account.m_max_concurrent = static_cast<int>(
      ReadCount(node, "max_concurrent", account.m_max_concurrent));
  for (const auto& name : ReadTexts(node, "classes")) {
    account.m_classes.emplace_back(name.m_text);
  }
  if (node.Find("classes") == nullptr) {
    for (const auto& entry : config.m_classes) {
      account.m_classes.push_back(entry.first);
    }
  }
  return account;
}

auto CompileShares(const TextNode& root, DeskConfig& config) -> void {
  const auto* shares = root.Find("shares");
  if (shares == nullptr) {
    return;
  }
  config.m_short_share_percent =
      ReadPercent(*shares, "short_calls", config.m_short_share_percent);
  config.m_retry_share_percent =
      ReadPercent(*shares, "retries", config.m_retry_share_percent);
  config.m_escrow_percent =
      ReadPercent(*shares, "escrow", config.m_escrow_percent);
}

}  // namespace

auto CompileDesk(const TextNode& root) -> DeskConfig {
  DeskConfig config;
  const auto currency = ReadText(root, "currency", kDefaultCurrency);
  config.m_desk = ReadText(root, "desk");
  config.m_default_class = ClassId(ReadText(root, "default_class"));
  CompileShares(root, config);
  for (const auto& node : ReadItems(root, "services")) {
    auto service = CompileService(node, currency);
    config.m_services.emplace(service.m_id, std::move(service));
  }
  for (const auto& node : ReadItems(root, "classes")) {
    const auto result = CompileClass(node, currency);
    config.m_classes.emplace(result.m_id, result);
  }
  for (const auto& node : ReadItems(root, "accounts")) {
    const auto account = CompileAccount(node, config);
    config.m_accounts.emplace(account.m_id, account);
  }
  return config;
}

}  // namespace dotterelshed::pvt
