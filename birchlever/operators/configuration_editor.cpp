#include "birchlever/operators/configuration_editor.h"

#include <algorithm>

#include "birchlever/accounts/key_digest.h"

namespace birchlever {
namespace {

constexpr auto shortest_key = std::size_t{8};

auto invalid(std::string reason) -> error {
  return error{error_code::invalid_command, std::move(reason)};
}

auto create_policy(const statement& command, fleet_configuration& edited) -> status {
  if (edited.policies_.count(command.name_) != 0 || command.name_ == default_policy_name) {
    return invalid("policy " + command.name_ + " exists");
  }
  auto kind = parse_policy_kind(command.subject_);
  if (!ok(kind)) {
    return failure(kind);
  }
  auto policy = fleet_policy{{value(kind), command.parameters_}, policy_state::created, 0};
  auto checked = check_policy(policy.settings_);
  if (ok(checked)) {
    edited.policies_[command.name_] = policy;
  }
  return checked;
}

auto set_policy_state(const statement& command, fleet_configuration& edited) -> status {
  auto found = edited.policies_.find(command.name_);
  if (found == edited.policies_.end()) {
    return invalid("no policy " + command.name_);
  }
  auto& policy = found->second;
  switch (command.verb_) {
    case statement_verb::load_policy:
      if (command.number_ < 0) {
        return invalid("a share must not be negative");
      }
      policy.state_ = policy_state::loaded;
      policy.share_ = command.number_ == 0 ? 1 : command.number_;
      break;
    case statement_verb::shadow_policy:
      policy.state_ = policy_state::shadow;
      policy.share_ = 0;
      break;
    default:
      policy.state_ = policy_state::retired;
      policy.share_ = 0;
      break;
  }
  return success;
}

auto split_policies(const statement& command, fleet_configuration& edited) -> status {
  for (const auto& [name, share] : command.shares_) {
    if (edited.policies_.count(name) == 0) {
      return invalid("no policy " + name);
    }
    if (share < 1) {
      return invalid("the share of " + name + " must be at least 1");
    }
  }
  for (auto& [name, policy] : edited.policies_) {
    if (policy.state_ == policy_state::loaded) {
      policy.state_ = policy_state::created;
      policy.share_ = 0;
    }
  }
  for (const auto& [name, share] : command.shares_) {
    edited.policies_[name].state_ = policy_state::loaded;
    edited.policies_[name].share_ = share;
  }
  return success;
}

auto set_drain(const statement& command, fleet_configuration& edited) -> status {
  auto& drained = command.subject_ == "hall" ? edited.drained_halls_ : edited.drained_upstreams_;
  if (command.verb_ == statement_verb::drain) {
    drained.insert(command.name_);
    return success;
  }
  if (drained.erase(command.name_) == 0) {
    return invalid(command.subject_ + " " + command.name_ + " is not drained");
  }
  return success;
}

/// True when an account of another name holds the key: which of the two a call belongs to could not be told.
auto held_by_another(const fleet_configuration& edited, const std::string& name, const std::string& digest)
    -> bool {
  return std::any_of(edited.accounts_.begin(), edited.accounts_.end(), [&](const auto& entry) {
    const auto& digests = entry.second.key_digests_;
    return entry.first != name && std::find(digests.begin(), digests.end(), digest) != digests.end();
  });
}

auto set_account(const statement& command, fleet_configuration& edited) -> status {
  auto known = edited.accounts_.count(command.name_) != 0;
  if (!known && command.target_.empty()) {
    return invalid("a new account needs a key");
  }
  if (!command.target_.empty() && command.target_.size() < shortest_key) {
    return invalid("a key needs at least 8 characters");
  }
  if (command.number_ < 0) {
    return invalid("a limit must be at least 1");
  }
  if (!command.target_.empty() && held_by_another(edited, command.name_, sha256_hex(command.target_))) {
    return invalid("another account holds this key");
  }
  auto& account = edited.accounts_[command.name_];
  account.name_ = command.name_;
  if (!command.target_.empty()) {
    account.key_digests_ = {sha256_hex(command.target_)};
  }
  if (command.number_ > 0) {
    account.max_in_flight_ = command.number_;
  }
  return success;
}

auto apply(const statement& command, fleet_configuration& edited) -> status {
  switch (command.verb_) {
    case statement_verb::create_policy:
      return create_policy(command, edited);
    case statement_verb::load_policy:
    case statement_verb::shadow_policy:
    case statement_verb::retire_policy:
      return set_policy_state(command, edited);
    case statement_verb::split_policies:
      return split_policies(command, edited);
    case statement_verb::drain:
    case statement_verb::undrain:
      return set_drain(command, edited);
    case statement_verb::set_account:
      return set_account(command, edited);
    case statement_verb::remove_account:
      return edited.accounts_.erase(command.name_) == 0 ? status{invalid("no account " + command.name_)}
                                                        : status{success};
    case statement_verb::move_shard:
      edited.pinned_shards_[static_cast<std::int32_t>(command.number_)] = command.target_;
      return success;
    case statement_verb::unpin_shard:
      return edited.pinned_shards_.erase(static_cast<std::int32_t>(command.number_)) == 0
                 ? status{invalid("shard " + std::to_string(command.number_) + " is not pinned")}
                 : status{success};
    default:
      return success;
  }
}

}  // namespace

auto edit_configuration(const statement& command, fleet_configuration before) -> result<fleet_configuration> {
  auto applied = apply(command, before);
  if (!ok(applied)) {
    return failure(applied);
  }
  return before;
}

}  // namespace birchlever
