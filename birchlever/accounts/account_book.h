/// All client accounts of one configuration, found by key or by name in constant time.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "birchlever/accounts/client_account.h"
#include "birchlever/core/result.h"

namespace birchlever {

/// Checked and immutable: a request keeps the book it was judged by.
class account_book {
 public:
  /// Failures: invalid_account for an account without a name, one that stands twice, a negative rate or
  /// burst, or a key that two accounts hold. The message names accounts and digests' beginnings, never a key.
  static auto create(std::vector<client_account> accounts) -> result<std::shared_ptr<const account_book>>;

  /// The account that holds a key, by the key's digest; none when nobody does. Of digests, a lookup's
  /// duration tells nothing useful about keys.
  [[nodiscard]] auto holder_of(const std::string& key_digest) const -> const client_account*;

  /// The account of a name, or none.
  [[nodiscard]] auto find(const std::string& name) const -> const client_account*;

  [[nodiscard]] auto accounts() const -> const std::vector<client_account>& { return accounts_; }

 private:
  account_book() = default;

  auto add_keys_of(std::size_t index) -> status;

  std::vector<client_account> accounts_;
  std::unordered_map<std::string, std::size_t> by_name_;
  std::unordered_map<std::string, std::size_t> by_digest_;
};

}  // namespace birchlever
