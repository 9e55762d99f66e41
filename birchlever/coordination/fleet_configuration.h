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

/// Lifecycle state of a policy.
enum class policy_state { created, loaded, shadow, retired };

/// A policy with its state and traffic share.
struct fleet_policy {
  policy_settings settings_;
  policy_state state_ = policy_state::created;
  std::int64_t share_ = 0;  ///< Weight among the loaded policies when new programs are assigned.
};

/// The configuration that operators can change at run time.
struct fleet_configuration {
  std::map<std::string, client_account> accounts_;
  std::shared_ptr<const account_registry>
      account_registry_;  ///< Built from accounts_ by parse(); not stored.
  std::map<std::string, fleet_policy> policies_;
  std::set<std::string> drained_upstreams_;
  std::set<std::string> drained_halls_;
  std::map<std::int32_t, std::string> pinned_shards_;  ///< Preferred owner (daemon) by shard.

  /// Parses a document; an empty text gives an empty configuration. Failures: malformed_json,
  /// invalid_account.
  static auto parse(const std::string& text) -> result<fleet_configuration>;

  /// Returns the document as stored.
  [[nodiscard]] auto to_text() const -> std::string;

  /// Returns the name of the account that a key belongs to; empty if there is none.
  [[nodiscard]] auto account_of(const std::string& key) const -> std::string;

  /// Returns the policy of a new program. Assigned by hash, so it is stable while the shares do not change.
  [[nodiscard]] auto policy_for(const std::string& account, const std::string& program) const -> std::string;
};

/// Name of the policy that applies while no policy is loaded.
inline constexpr auto default_policy_name = "default";

/// Returns the stable name of a policy state.
[[nodiscard]] auto name_of(policy_state state) -> std::string_view;

}  // namespace birchlever
