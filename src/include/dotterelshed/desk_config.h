#ifndef DOTTERELSHED_DESK_CONFIG_H_
#define DOTTERELSHED_DESK_CONFIG_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dotterelshed/call.h"
#include "dotterelshed/ids.h"
#include "dotterelshed/units.h"

/// @file
/// The operators' text after it was checked: what the rest of the system
/// reads. Parsing and checking are in config_text.h.

namespace dotterelshed {

/// One back end process of a service.
struct EndpointConfig {
  EndpointId m_id;
  DomainId m_domain;
  /// IP address and port, "127.0.0.1:8000".
  std::string m_address;
  /// Requests that it may run at once.
  int m_max_concurrency = 16;
  /// Memory for KV prefixes.
  Tokens m_kv_capacity;
};

/// A model, adapter or version that an engine should have loaded.
struct ModelConfig {
  ModelId m_id;
  std::string m_version;
  /// Base model of an adapter.
  std::optional<ModelId> m_base;
};

/// One service of the desk and what it depends on.
struct ServiceConfig {
  ServiceId m_id;
  ServiceKind m_kind = ServiceKind::kModel;
  std::vector<ServiceId> m_depends_on;
  std::vector<EndpointConfig> m_endpoints;
  std::vector<ModelConfig> m_models;
  /// Whether a call may be sent again after an uncertain attempt.
  bool m_repeatable = true;
  /// Whether endpoints refuse an order with an old fencing number.
  bool m_checks_fencing = false;
  /// Longest time for one attempt.
  Duration m_timeout = std::chrono::seconds(60);
  /// Longest time without a byte before a connection is given up.
  Duration m_progress_timeout = std::chrono::seconds(5);
  Cost m_price_per_prompt_token;
  Cost m_price_per_generated_token;
  Cost m_price_per_call;
};

/// A class of programs.
struct ClassConfig {
  ClassId m_id;
  /// Share relative to other classes; larger goes first.
  int m_weight = 1;
  /// Time for the whole program.
  Duration m_deadline = std::chrono::seconds(60);
  Cost m_budget;
  int m_max_turns = 64;
  Duration m_idle_limit = std::chrono::minutes(10);
  /// Identical calls in a row before the program is ended as a loop.
  int m_repeat_limit = 5;
};

/// A caller's account.
struct AccountConfig {
  AccountId m_id;
  /// Bearer secret's SHA-256 in hex; empty accepts the account by name.
  std::string m_key_sha256;
  int m_max_concurrent = 64;
  std::vector<ClassId> m_classes;
};

/// The whole accepted text at one generation.
struct DeskConfig {
  Generation m_generation;
  std::string m_desk;
  std::map<ServiceId, ServiceConfig> m_services;
  std::map<ClassId, ClassConfig> m_classes;
  std::map<AccountId, AccountConfig> m_accounts;
  /// Class of a call that names none.
  ClassId m_default_class;
  /// Share of a pool's slots kept for short calls, in percent.
  int m_short_share_percent = 25;
  /// Retries and hedges together, in percent of recent calls.
  int m_retry_share_percent = 10;
  /// Share of a program's budget kept for the copy holder, in percent.
  int m_escrow_percent = 25;
};

}  // namespace dotterelshed

#endif  // DOTTERELSHED_DESK_CONFIG_H_
