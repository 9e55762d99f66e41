/// The owner of one shard: orders the calls of the shard's programs while its lease is valid.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/controllers/actor_messages.h"
#include "birchlever/coordination/program_ledger.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {

struct daemon_context;

/// An actor around the deterministic program_ledger. It replies only after the records that the reply depends
/// on are durable, and issues tickets only while the lease is valid.
class shard_controller final : public caf::event_based_actor {
 public:
  shard_controller(caf::actor_config& config, std::shared_ptr<daemon_context> context, int shard,
                   caf::actor upstream_worker);

  auto make_behavior() -> caf::behavior override;

 private:
  using open_promise = caf::typed_response_promise<shared<open_reply>>;
  using settle_promise = caf::typed_response_promise<shared<settle_reply>>;
  using text_promise = caf::typed_response_promise<std::string>;
  /// Called with true when a batch is durable, with false if it can no longer become durable.
  using continuation = std::function<void(bool)>;

  /// A call that waits for its predecessor or for its own answer.
  struct waiting_call {
    shared<open_request> request_;
    open_promise promise_;
    milliseconds times_out_at_ = 0;
    milliseconds probe_at_ = 0;
    bool own_answer_ = false;
  };

  struct issued_ticket {
    dispatch_ticket ticket_;
    milliseconds expires_at_ = 0;
  };

  struct open_batch {
    std::int64_t number_ = 0;
    std::vector<journal_record> records_;
    continuation then_;
  };

  // Calls.
  auto open(const shared<open_request>& request, open_promise promise) -> void;
  auto proceed(const shared<open_request>& request, open_promise promise, open_proceed ready) -> void;
  auto issue_ticket(const shared<open_request>& request, open_promise promise, const dispatch_ticket& ticket)
      -> void;
  auto replay(open_promise promise, const std::string& answer, const answer_location& location) -> void;
  auto add_waiting(const shared<open_request>& request, open_promise promise, bool own_answer) -> void;
  auto resolve(const shared<open_request>& request, open_promise promise, const open_resolve& query) -> void;
  auto settle(const shared<settle_request>& request, settle_promise promise) -> void;
  auto accepted(const accepted_report& report) -> void;
  auto retry_waiting(const std::string& account, const std::string& program) -> void;
  auto expire_waiting() -> void;

  // Programs.
  auto create_program(const program_request& request, text_promise promise) -> void;
  auto end_program(const program_request& request, const std::string& reason, text_promise promise) -> void;
  auto history(const program_request& request, text_promise promise) -> void;
  auto rows(const std::string& kind) const -> std::string;
  auto release_memory(const program& ended) -> void;

  // Durability.
  auto commit(std::vector<journal_record> records, continuation then) -> void;
  auto committed(const committed_message& message) -> void;
  auto apply(const journal_record& record) -> void;
  auto recovered(const recovered_message& message) -> void;
  auto lost() -> void;
  auto tick() -> void;
  auto probed(const probe_message& answer) -> void;

  [[nodiscard]] auto may_act() const -> bool;
  [[nodiscard]] auto probe_interval() const -> milliseconds;
  [[nodiscard]] auto not_owner() const -> error;
  auto record_prompt(const settle_request& request) -> void;
  auto place(const open_request& request) -> result<dispatch_ticket>;

  std::shared_ptr<daemon_context> context_;
  int shard_ = 0;
  caf::actor upstream_worker_;
  caf::actor writer_;
  std::shared_ptr<lease_validity> validity_;
  std::optional<program_ledger> ledger_;
  std::int64_t epoch_ = 0;
  bool handing_over_ = false;
  std::deque<open_batch> batches_;
  std::int64_t last_batch_ = 0;
  std::int64_t journal_sequence_ = 0;
  std::int64_t snapshot_sequence_ = 0;
  bool snapshotting_ = false;
  std::multimap<std::string, waiting_call> waiting_;
  std::map<std::string, std::vector<open_promise>> resolving_;
  std::map<std::string, issued_ticket> tickets_;          ///< By request id, until they expire.
  std::map<std::string, placement_result> explanations_;  ///< Latest placement by program.
  milliseconds swept_at_ = 0;
  bool sweep_now_ = false;
};

}  // namespace birchlever
