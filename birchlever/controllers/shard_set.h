/// Blocking access to the shards of this daemon.
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

/// Thread safe. Each call waits for the shard's reply; a shard that does not reply in time yields a failure.
class shard_set {
 public:
  shard_set(caf::actor_system& system, const std::vector<caf::actor>& shards);
  ~shard_set();

  [[nodiscard]] auto open(int shard, open_request request) -> open_reply;
  [[nodiscard]] auto settle(int shard, settle_request request, milliseconds wait) -> settle_reply;
  auto accepted(int shard, accepted_report report) -> void;

  /// Requests about a program. The responses are JSON: the program, or an error.
  [[nodiscard]] auto create_program(int shard, program_request request) -> result<std::string>;
  [[nodiscard]] auto end_program(int shard, program_request request, const std::string& reason)
      -> result<std::string>;
  [[nodiscard]] auto history(int shard, program_request request) -> result<std::string>;

  /// Returns rows of a kind ("programs", "calls", "shards") of all local shards as one JSON array.
  [[nodiscard]] auto rows(const std::string& kind) -> std::string;

  /// Hands a shard over to another daemon; others learn the new owner from the lease row.
  auto hand_over(int shard, const std::string& successor) -> void;

  [[nodiscard]] auto count() const -> int;

 private:
  [[nodiscard]] auto actor_of(int shard) const -> const caf::actor&;

  caf::actor_system& system_;
  std::unique_ptr<std::vector<caf::actor>> shards_;
};

}  // namespace birchlever
