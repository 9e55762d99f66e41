/// The service configuration of the fleet: accounts, policies, splits, drains and limits.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "birchlever/accounts/account_registry.h"
#include "birchlever/core/result.h"
#include "birchlever/policy/policy_settings.h"

namespace birchlever {

/// Where a policy stands.
enum class policy_state { created, loaded, shadow, retired };

/// A policy with its place in the fleet.
struct fleet_policy {
  policy_settings settings_;
  policy_state state_ = policy_state::created;
  std::int64_t share_ = 0;  ///< Parts of new programs it gets, relative to the other loaded ones.
};

/// Everything operators change while the fleet runs.
struct fleet_configuration {
  std::map<std::string, client_account> accounts_;
  std::shared_ptr<const account_registry> book_;  ///< The accounts as checked when parsed; not stored.
  std::map<std::string, fleet_policy> policies_;
  std::set<std::string> drained_upstreams_;
  std::set<std::string> drained_halls_;
  std::map<std::int32_t, std::string> pinned_shards_;  ///< Shard to the daemon that should own it.

  /// Reads a document. Failures: malformed_json, invalid_account.
  static auto parse(const std::string& text) -> result<fleet_configuration>;

  /// The document as stored.
  [[nodiscard]] auto to_text() const -> std::string;

  /// The account that a key belongs to; empty when none.
  [[nodiscard]] auto account_of(const std::string& key) const -> std::string;

  /// The policy of a new program, by a hash that stays the same as long as the split does.
  [[nodiscard]] auto policy_for(const std::string& account, const std::string& program) const -> std::string;
};

/// Name of the policy in force while no policy is loaded.
inline constexpr auto default_policy_name = "default";

/// The stable name of a policy state.
[[nodiscard]] auto name_of(policy_state state) -> std::string_view;

}  // namespace birchlever
