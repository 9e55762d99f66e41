/// Registry of the client accounts of one configuration, with constant-time lookup by key digest and by name.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "birchlever/accounts/client_account.h"
#include "birchlever/core/result.h"

namespace birchlever {

/// Immutable after creation. A request keeps the registry that it was authorized against.
class account_registry {
 public:
  /// Validates the accounts and creates the registry. Failures: invalid_account for an empty or duplicate
  /// name, a negative or non-finite rate or burst, or a key assigned to two accounts. Messages contain
  /// account names and abbreviated digests, never keys.
  static auto create(std::vector<client_account> accounts) -> result<std::shared_ptr<const account_registry>>;

  /// Returns the account that a key with this digest is assigned to, or null. Lookup need not be
  /// constant-time with respect to the input, since timing could only reveal digests.
  [[nodiscard]] auto find_by_key_digest(const std::string& key_digest) const -> const client_account*;

  /// Returns the account with the given name, or null.
  [[nodiscard]] auto find(const std::string& name) const -> const client_account*;

  [[nodiscard]] auto accounts() const -> const std::vector<client_account>& { return accounts_; }

 private:
  account_registry() = default;

  auto add_keys_of(std::size_t index) -> status;

  std::vector<client_account> accounts_;
  std::unordered_map<std::string, std::size_t> by_name_;
  std::unordered_map<std::string, std::size_t> by_digest_;
};

}  // namespace birchlever
