/// Keys of the rows in which programs are kept, shared by who writes them and who sweeps them.
#pragma once

#include <string>

namespace birchlever {

/// An identity as part of a key: itself when it is short and plain, else its hash.
[[nodiscard]] auto key_name(const std::string& identity) -> std::string;

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
