/// The part of upstream_attempt that keeps responses within the memory of the process.
#include "birchlever/core/memory_budget.h"
#include "birchlever/gateway/upstream_attempt.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto slow_reader_ms = milliseconds{1000};  // A write that takes longer waits for its reader.

}  // namespace

auto upstream_attempt::allow_revocation() -> void {
  auto close = [connection = request_->connection_, budget = context_->memory_,
                id = request_->metadata_.request_id_] {
    log_event(log_level::warning, "slow_reader_closed",
              {{"request", id},
               {"unread_ms_at_least", slow_reader_ms},
               {"memory_held_bytes", static_cast<std::int64_t>(budget->held())},
               {"memory_limit_bytes", static_cast<std::int64_t>(budget->limit())}});
    connection->close();
  };
  request_->memory_->allow_revocation(std::move(close), slow_reader_ms);
}

auto upstream_attempt::await_memory() -> task<> {
  constexpr auto check_gap = milliseconds{10};
  auto& budget = *context_->memory_;
  auto& claim = *request_->memory_;
  while (!budget.has_room() && !budget.may_exceed(claim) && context_->clock_.now() < request_->deadline_ &&
         !request_->connection_->gone()) {
    claim.wait_for_room();
    co_await pause_for(*context_->loop_, check_gap);
    budget.make_room();
  }
}

auto upstream_attempt::read_body() -> task<exchanged<std::string>> {
  auto body = std::string{};
  auto last = false;
  while (!last) {
    co_await await_memory();
    auto read = co_await connection_->read_piece();
    if (auto* fault = std::get_if<exchange_fault>(&read)) {
      co_return *fault;
    }
    auto& piece = std::get<body_piece>(read);
    last = piece.last_;
    body += piece.bytes_;
    if (body.size() > context_->limits_.max_response_bytes_) {
      connection_->abort();
      co_return exchange_fault::malformed;
    }
    request_->claim_memory(body.size());
  }
  co_return body;
}

}  // namespace birchlever
