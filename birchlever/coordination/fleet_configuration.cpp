#include "birchlever/coordination/fleet_configuration.h"

#include <array>
#include <nlohmann/json.hpp>

#include "birchlever/accounts/key_digest.h"
#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto state_names = std::array<std::string_view, 4>{"created", "loaded", "shadow", "retired"};

auto policy_to_json(const fleet_policy& policy) -> json {
  return {{"kind", name_of(policy.settings_.kind_)},
          {"parameters", policy.settings_.parameters_},
          {"state", name_of(policy.state_)},
          {"share", policy.share_}};
}

auto account_to_json(const client_account& account) -> json {
  auto digest = account.key_digests_.empty() ? std::string{} : account.key_digests_.front();
  return {{"key_sha256", std::move(digest)}, {"max_in_flight", account.max_in_flight_}};
}

auto account_from_json(const std::string& name, const json& body) -> client_account {
  auto account = client_account{};
  account.name_ = name;
  account.key_digests_ = {body.at("key_sha256")};
  account.max_in_flight_ = body.at("max_in_flight");
  return account;
}

auto policy_from_json(const json& body) -> fleet_policy {
  auto policy = fleet_policy{};
  auto kind = parse_policy_kind(body.at("kind").get<std::string>());
  policy.settings_.kind_ = ok(kind) ? value(kind) : policy_kind::program_aware;
  policy.settings_.parameters_ = body.at("parameters").get<std::map<std::string, double>>();
  policy.share_ = body.at("share");
  auto state = body.at("state").get<std::string>();
  for (auto index = std::size_t{0}; index < state_names.size(); ++index) {
    if (state_names.at(index) == state) {
      policy.state_ = static_cast<policy_state>(index);
    }
  }
  return policy;
}

}  // namespace

auto name_of(policy_state state) -> std::string_view {
  return state_names.at(static_cast<std::size_t>(state));
}

auto fleet_configuration::parse(const std::string& text) -> result<fleet_configuration> {
  auto parsed = fleet_configuration{};
  if (text.empty()) {
    return parsed;
  }
  try {
    auto body = json::parse(text);
    for (const auto& [name, account] : body.at("accounts").items()) {
      parsed.accounts_[name] = account_from_json(name, account);
    }
    for (const auto& [name, policy] : body.at("policies").items()) {
      parsed.policies_[name] = policy_from_json(policy);
    }
    parsed.drained_upstreams_ = body.at("drained_upstreams").get<std::set<std::string>>();
    parsed.drained_halls_ = body.at("drained_halls").get<std::set<std::string>>();
    for (const auto& [shard, daemon] : body.at("pinned_shards").items()) {
      parsed.pinned_shards_[std::stoi(shard)] = daemon.get<std::string>();
    }
  } catch (const std::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed fleet configuration: "} + fault.what()};
  }
  auto accounts = std::vector<client_account>{};
  for (const auto& [name, account] : parsed.accounts_) {
    accounts.push_back(account);
  }
  auto registry = account_registry::create(std::move(accounts));
  if (!ok(registry)) {
    return failure(registry);
  }
  parsed.account_registry_ = std::move(value(registry));
  return parsed;
}

auto fleet_configuration::to_text() const -> std::string {
  auto accounts = json::object();
  for (const auto& [name, account] : accounts_) {
    accounts[name] = account_to_json(account);
  }
  auto policies = json::object();
  for (const auto& [name, policy] : policies_) {
    policies[name] = policy_to_json(policy);
  }
  auto pinned = json::object();
  for (const auto& [shard, daemon] : pinned_shards_) {
    pinned[std::to_string(shard)] = daemon;
  }
  return json{{"accounts", std::move(accounts)},
              {"policies", std::move(policies)},
              {"drained_upstreams", drained_upstreams_},
              {"drained_halls", drained_halls_},
              {"pinned_shards", std::move(pinned)}}
      .dump();
}

auto fleet_configuration::account_of(const std::string& key) const -> std::string {
  const auto* holder = account_registry_ ? account_registry_->find_by_key_digest(sha256_hex(key)) : nullptr;
  return holder == nullptr ? std::string{} : holder->name_;
}

auto fleet_configuration::policy_for(const std::string& account, const std::string& program) const
    -> std::string {
  auto total = std::int64_t{0};
  for (const auto& [name, policy] : policies_) {
    total += policy.state_ == policy_state::loaded ? policy.share_ : 0;
  }
  if (total == 0) {
    return default_policy_name;
  }
  auto point =
      static_cast<std::int64_t>(hash_of(program, hash_of(account, 1)) % static_cast<std::uint64_t>(total));
  for (const auto& [name, policy] : policies_) {
    auto share = policy.state_ == policy_state::loaded ? policy.share_ : 0;
    if (point < share) {
      return name;
    }
    point -= share;
  }
  return default_policy_name;
}

}  // namespace birchlever
