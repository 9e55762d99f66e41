#include "birchlever/accounts/account_registry.h"

#include <cmath>

#include "birchlever/accounts/key_digest.h"

namespace birchlever {
namespace {

auto invalid(std::string detail) -> error {
  return error{error_code::invalid_account, std::move(detail)};
}

auto check(const client_account& account) -> status {
  if (account.name_.empty()) {
    return invalid("account without a name");
  }
  auto valid = [](double number) { return std::isfinite(number) && number >= 0; };
  if (!valid(account.allotment_.rate_per_s_) || !valid(account.allotment_.burst_)) {
    return invalid("account " + account.name_ + " has a negative rate or burst");
  }
  return success;
}

}  // namespace

auto account_registry::add_keys_of(std::size_t index) -> status {
  for (const auto& digest : accounts_[index].key_digests_) {
    auto [entry, added] = by_digest_.emplace(digest, index);
    if (!added && entry->second != index) {
      return invalid("key " + abbreviated_digest(digest) + " is assigned to two accounts: " +
                     accounts_[entry->second].name_ + " and " + accounts_[index].name_);
    }
  }
  return success;
}

auto account_registry::create(std::vector<client_account> accounts)
    -> result<std::shared_ptr<const account_registry>> {
  auto registry = std::shared_ptr<account_registry>{new account_registry{}};
  registry->accounts_ = std::move(accounts);
  for (auto index = std::size_t{0}; index < registry->accounts_.size(); ++index) {
    const auto& account = registry->accounts_[index];
    auto checked = check(account);
    if (!ok(checked)) {
      return failure(checked);
    }
    if (!registry->by_name_.emplace(account.name_, index).second) {
      return invalid("account " + account.name_ + " is defined twice");
    }
    auto added = registry->add_keys_of(index);
    if (!ok(added)) {
      return failure(added);
    }
  }
  return std::shared_ptr<const account_registry>{std::move(registry)};
}

auto account_registry::find_by_key_digest(const std::string& key_digest) const -> const client_account* {
  auto found = by_digest_.find(key_digest);
  return found == by_digest_.end() ? nullptr : &accounts_[found->second];
}

auto account_registry::find(const std::string& name) const -> const client_account* {
  auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &accounts_[found->second];
}

}  // namespace birchlever
