/// The store access of a shard: its lease and its journal.
#pragma once

#include <memory>
#include <optional>

#include "birchlever/controllers/actor_messages.h"
#include "birchlever/coordination/lease.h"

namespace birchlever {

struct daemon_context;

/// A detached actor, since store calls block. One per shard, so that a slow write does not delay other
/// shards. Records that arrive during a commit are written together by the next one.
class shard_writer final : public caf::event_based_actor {
 public:
  shard_writer(caf::actor_config& config, std::shared_ptr<daemon_context> context, int shard,
               std::shared_ptr<lease_validity> validity, caf::actor controller);

  auto make_behavior() -> caf::behavior override;

 private:
  auto observe(const observed_message& observed) -> void;
  auto maintain_lease() -> void;
  auto try_take_over() -> void;
  auto append(const append_message& message) -> void;
  auto schedule_flush() -> void;
  auto flush() -> void;
  auto write_snapshot(const std::shared_ptr<const journal_snapshot>& snapshot) -> void;
  auto hand_over(const std::string& successor) -> void;
  auto drop_shard(const char* reason) -> void;
  auto publish_validity() -> void;

  std::shared_ptr<daemon_context> context_;
  int shard_ = 0;
  std::shared_ptr<lease_validity> validity_;
  caf::actor controller_;
  std::optional<lease> lease_;
  std::optional<journal> journal_;
  int rank_ = 0;
  bool ready_to_own_ = false;
  std::vector<journal_record> pending_;
  std::int64_t pending_batch_ = 0;
  bool flush_scheduled_ = false;
  milliseconds committed_at_ = 0;
};

}  // namespace birchlever
