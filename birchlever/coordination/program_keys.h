/// Keys of the rows of programs, shared by program_store and program_sweeper.
#pragma once

#include <string>
#include <utility>

namespace birchlever {

/// The name of a program or a turn within its client account. Equal names of different accounts are distinct,
/// and no account can access data of another.
struct scoped_name {
  scoped_name() = default;

  /// Creates a name without an account, for deployments without accounts and rows written before accounts
  /// existed.
  scoped_name(const char* name) : name_{name} {}
  scoped_name(std::string name) : name_{std::move(name)} {}

  scoped_name(std::string account, std::string name) : account_{std::move(account)}, name_{std::move(name)} {}

  std::string account_;  ///< Empty if accounts are not distinguished.
  std::string name_;
};

/// Returns a name as a component of row keys: the name itself if it is short and plain, otherwise its hash,
/// prefixed with the account if there is one. The key range of one name never includes keys of another.
[[nodiscard]] auto key_name(const scoped_name& identity) -> std::string;

/// Returns the key of a program's budget row.
[[nodiscard]] auto budget_key(const std::string& program) -> std::string;

/// Returns the common prefix of the keys of a program's turns.
[[nodiscard]] auto turns_prefix(const std::string& program) -> std::string;

/// Returns the end of the key range of a program's turns, exclusive.
[[nodiscard]] auto end_of_turns(const std::string& program) -> std::string;

/// Returns the key of a program's own row in the index, which exists from its first reservation on.
[[nodiscard]] auto index_key(const std::string& program) -> std::string;

/// Returns the name of a partition by its number.
[[nodiscard]] auto part_name(int number) -> std::string;

}  // namespace birchlever
