#include "birchlever/coordination/fleet_configuration.h"

#include <openssl/evp.h>

#include <array>
#include <nlohmann/json.hpp>

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

auto sha256_of(const std::string& text) -> std::string {
  auto digest = std::array<unsigned char, EVP_MAX_MD_SIZE>{};
  auto length = 0U;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
  constexpr auto* digits = "0123456789abcdef";
  auto hexadecimal = std::string{};
  for (auto index = 0U; index < length; ++index) {
    hexadecimal += digits[digest.at(index) >> 4U];
    hexadecimal += digits[digest.at(index) & 15U];
  }
  return hexadecimal;
}

auto fleet_configuration::parse(const std::string& text) -> result<fleet_configuration> {
  auto parsed = fleet_configuration{};
  if (text.empty()) {
    return parsed;
  }
  try {
    auto body = json::parse(text);
    for (const auto& [name, account] : body.at("accounts").items()) {
      parsed.accounts_[name] = {account.at("key_sha256"), account.at("max_in_flight")};
      parsed.account_by_digest_[account.at("key_sha256")] = name;
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
    return error{error_code::malformed_json, std::string{"configuration is not readable: "} + fault.what()};
  }
  return parsed;
}

auto fleet_configuration::to_text() const -> std::string {
  auto accounts = json::object();
  for (const auto& [name, account] : accounts_) {
    accounts[name] = {{"key_sha256", account.key_digest_}, {"max_in_flight", account.max_in_flight_}};
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
  auto found = account_by_digest_.find(sha256_of(key));  // Of digests, a lookup's time tells nothing useful.
  return found == account_by_digest_.end() ? std::string{} : found->second;
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
  auto place =
      static_cast<std::int64_t>(hash_of(program, hash_of(account, 1)) % static_cast<std::uint64_t>(total));
  for (const auto& [name, policy] : policies_) {
    auto share = policy.state_ == policy_state::loaded ? policy.share_ : 0;
    if (place < share) {
      return name;
    }
    place -= share;
  }
  return default_policy_name;
}

}  // namespace birchlever
