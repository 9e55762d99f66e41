/// The shards of this daemon, asked from threads that may block.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "birchlever/controllers/owner_messages.h"

namespace caf {
class actor;
class actor_system;
}  // namespace caf

namespace birchlever {

/// Thread safe. Each call waits for its shard's answer; a shard that does not answer gives a typed failure.
class shard_set {
 public:
  shard_set(caf::actor_system& system, const std::vector<caf::actor>& shards);
  ~shard_set();

  [[nodiscard]] auto open(int shard, open_request request) -> open_reply;
  [[nodiscard]] auto settle(int shard, settle_request request, milliseconds wait) -> settle_reply;
  auto accepted(int shard, accepted_report report) -> void;

  /// The answers are JSON: the program, or an error.
  [[nodiscard]] auto create_program(int shard, program_request request) -> result<std::string>;
  [[nodiscard]] auto end_program(int shard, program_request request, const std::string& reason)
      -> result<std::string>;
  [[nodiscard]] auto history(int shard, program_request request) -> result<std::string>;

  /// Rows of a kind ("programs", "calls", "shards") of all shards held here, as one JSON list.
  [[nodiscard]] auto rows(const std::string& kind) -> std::string;

  /// Gives one shard over to another daemon; everyone learns of it from the lease row.
  auto hand_over(int shard, const std::string& successor) -> void;

  [[nodiscard]] auto count() const -> int;

 private:
  [[nodiscard]] auto actor_of(int shard) const -> const caf::actor&;

  caf::actor_system& system_;
  std::unique_ptr<std::vector<caf::actor>> shards_;
};

}  // namespace birchlever
