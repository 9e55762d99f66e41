/// Runs operators' statements: questions over the whole fleet, changes through the configuration.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "birchlever/operators/statement.h"
#include "birchlever/storage/vm_list.h"

namespace birchlever {

struct daemon_context;
class owner_gateway;
class shard_set;

/// Any daemon answers for the whole fleet. A question goes to every daemon on the list, a bounded number at
/// a time; the answer names those that were silent. A command takes effect by compare-and-set or fails with
/// configuration_conflict; daemons are told of the new generation at once and look by themselves anyway.
class operator_console {
 public:
  operator_console(std::shared_ptr<daemon_context> context, std::shared_ptr<owner_gateway> gateway,
                   std::shared_ptr<shard_set> shards);

  /// Runs a statement on the whole fleet; the answer is JSON with rows.
  auto operate(const std::string& text) -> result<std::string>;

  /// Runs a question on this daemon only; the answer is a JSON list of rows.
  auto local_rows(const std::string& text) -> result<std::string>;

 private:
  struct fleet_rows;

  auto show(const statement& parsed, const std::string& text) -> result<std::string>;
  auto explain(const statement& parsed) -> result<std::string>;
  auto compare(const statement& parsed) -> result<std::string>;
  auto command(const statement& parsed) -> result<std::string>;
  auto end_program(const statement& parsed) -> result<std::string>;
  auto order_engine(const statement& parsed, std::int64_t generation) -> status;
  auto gather(const std::string& text) -> fleet_rows;
  auto spread(std::int64_t generation) -> void;
  [[nodiscard]] auto daemons() const -> std::vector<vm_entry>;

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<owner_gateway> gateway_;
  std::shared_ptr<shard_set> shards_;
};

}  // namespace birchlever
