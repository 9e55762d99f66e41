/// A statement of the operators' language, as parsed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// What a statement does.
enum class statement_verb {
  show,
  explain,
  compare,
  create_policy,
  load_policy,
  shadow_policy,
  retire_policy,
  split_policies,
  drain,
  undrain,
  set_account,
  remove_account,
  move_shard,
  unpin_shard,
  end_program,
  load_model,
  load_adapter,
  change_role,
};

/// How a condition compares.
enum class comparison { equal, not_equal, less, less_or_equal, greater, greater_or_equal, contains };

/// One condition of a `where`.
struct row_condition {
  std::string field_;
  comparison operator_ = comparison::equal;
  std::string value_;
};

/// Every form fits in here; unused parts stay empty.
struct statement {
  statement_verb verb_ = statement_verb::show;
  std::string subject_;  ///< What is shown or drained; the account of a program.
  std::string name_;     ///< The policy, account, program, upstream, model.
  std::string target_;   ///< The kind, daemon, engine, key or role that goes with it.
  std::vector<row_condition> conditions_;
  std::string order_field_;
  bool descending_ = false;
  std::int64_t number_ = 0;  ///< Limit of rows, limit of calls, share, or shard.
  std::map<std::string, double> parameters_;
  std::vector<std::pair<std::string, std::int64_t>> shares_;
  std::optional<std::int64_t> if_generation_;
  bool dry_run_ = false;
};

/// The stable name of a verb.
[[nodiscard]] auto name_of(statement_verb verb) -> std::string_view;

/// True when the statement changes something.
[[nodiscard]] auto is_command(const statement& parsed) -> bool;

/// Reads a statement. Failures: syntax_error naming the column and what was expected there.
[[nodiscard]] auto parse_statement(const std::string& text) -> result<statement>;

/// The words and subjects that a prompt can complete.
[[nodiscard]] auto completion_words() -> const std::vector<std::string>&;

}  // namespace birchlever
