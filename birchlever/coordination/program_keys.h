/// Keys of the rows in which programs are kept, shared by who writes them and who sweeps them.
#pragma once

#include <string>
#include <utility>

namespace birchlever {

/// A program or a turn as its client account names it. The same name under two accounts is two things, and
/// nothing of one account is found under another.
struct scoped_name {
  scoped_name() = default;

  /// Of no account: where accounts are not told apart, and in rows written before they were.
  scoped_name(const char* name) : name_{name} {}
  scoped_name(std::string name) : name_{std::move(name)} {}

  scoped_name(std::string account, std::string name) : account_{std::move(account)}, name_{std::move(name)} {}

  std::string account_;  ///< Empty where accounts are not told apart.
  std::string name_;
};

/// An identity as part of a key: itself when it is short and plain, else its hash; behind its account's name,
/// if it has one. No key name begins another's range of keys.
[[nodiscard]] auto key_name(const scoped_name& identity) -> std::string;

/// The key of a program's budget.
[[nodiscard]] auto budget_key(const std::string& program) -> std::string;

/// What the keys of all turns of a program begin with.
[[nodiscard]] auto turns_prefix(const std::string& program) -> std::string;

/// The first key behind all turns of a program.
[[nodiscard]] auto end_of_turns(const std::string& program) -> std::string;

/// The key of a program's own row in the index, which is there from its first reservation on.
[[nodiscard]] auto index_key(const std::string& program) -> std::string;

/// The name of a part by its number.
[[nodiscard]] auto part_name(int number) -> std::string;

}  // namespace birchlever
