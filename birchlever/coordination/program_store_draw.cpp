/// The part of program_store that draws budgets in advance, for turns whose history is not stored.
///
/// A draw takes the tokens its turn lacks and a share of the remaining budget, so that most later turns need
/// no store call. Drawn tokens count as spent in the store. Tokens that a turn leaves unused pay for later
/// turns on this daemon or are transferred to daemons that request them.
#include <algorithm>
#include <set>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto outage_poll_interval =
    milliseconds{100};  // Interval at which a turn waiting for a draw checks for a store outage.

}  // namespace

auto program_store::consume_drawn(entry& program, std::int64_t tokens, std::int64_t minimum)
    -> std::optional<std::int64_t> {
  if (program.drawn_ < minimum) {
    return std::nullopt;
  }
  auto taken = std::min(tokens, program.drawn_);
  program.drawn_ -= taken;
  return taken;
}

auto program_store::draw_budget(turn_request order, milliseconds time_left) -> task<result<std::int64_t>> {
  if (!order.budget_) {
    co_return order.max_tokens_;
  }
  auto self = shared_from_this();
  auto program = entry_of(order.program_);
  auto drawn = co_await draw_for(program, order, std::min(time_left, settings_.start_timeout_));
  program.reset();
  evict();
  co_return drawn;
}

auto program_store::draw_for(entry_pointer program, const turn_request& order, milliseconds time_left)
    -> task<result<std::int64_t>> {
  auto max_tokens = order.max_tokens_;
  auto due = clock_.now() + time_left;
  while (true) {
    // Concurrent turns of the program may consume the tokens drawn by this one, which then draws again.
    if (auto taken = consume_drawn(*program, max_tokens, max_tokens)) {
      co_return *taken;
    }
    auto drawn = co_await draw_from_store(program, order, due - clock_.now());
    if (ok(drawn)) {
      continue;
    }
    auto reason = failure(drawn);
    if (reason.code_ == error_code::store_unavailable) {
      co_return co_await draw_without_store(program, order, reason);
    }
    if (reason.code_ != error_code::budget_exhausted) {
      co_return reason;
    }
    auto lost = co_await collect_from_peers(program, max_tokens);
    if (lost && program->drawn_ < max_tokens) {
      co_await add_allowance(program, max_tokens);
    }
    // Never with less than the token limit: truncating a stream while the store is available loses the
    // request.
    if (auto taken = consume_drawn(*program, max_tokens, max_tokens)) {
      co_return *taken;
    }
    co_return reason;
  }
}

auto program_store::min_draw_of(std::int64_t max_tokens) const -> std::int64_t {
  return static_cast<std::int64_t>(settings_.min_draw_share_ * static_cast<double>(max_tokens));
}

auto program_store::draw_without_store(entry_pointer program, const turn_request& order, error reason)
    -> task<result<std::int64_t>> {
  auto max_tokens = order.max_tokens_;
  if (program->drawn_ < max_tokens) {
    auto any_nearby = std::vector<std::string>{};
    co_await request_from_peers(program, std::move(any_nearby), max_tokens);
  }
  if (program->drawn_ < max_tokens) {
    co_await add_allowance(program, max_tokens);
  }
  // A reachable store that timed out is not an outage: the caller retries soon, and a stream truncated for
  // lack of tokens would be lost needlessly.
  auto minimum = rows_->reachable() ? max_tokens : min_draw_of(max_tokens);
  if (auto taken = consume_drawn(*program, max_tokens, minimum)) {
    log_event(
        log_level::info, "budget_drawn_without_store",
        {{"request", order.turn_}, {"program", program->name_}, {"tokens", *taken}, {"most", max_tokens}});
    co_return *taken;
  }
  co_return reason;
}

auto program_store::add_allowance(entry_pointer program, std::int64_t tokens) -> task<> {
  if (budget_peers_) {
    program->drawn_ += co_await budget_peers_->request_allowance(program->name_, tokens);
  }
}

/// Requests tokens from all holders, including later recipients, until there are enough. Returns true if
/// tokens may be lost.
auto program_store::collect_from_peers(entry_pointer program, std::int64_t tokens) -> task<bool> {
  auto queried = std::set<std::string>{settings_.daemon_};
  auto holders = std::vector<std::string>{};
  for (const auto& [daemon, drawn] : program->record_.drawn_) {
    if (queried.insert(daemon).second) {
      holders.push_back(daemon);
    }
  }
  auto lost = false;
  while (!holders.empty() && program->drawn_ < tokens) {
    auto transferred = co_await request_from_peers(program, std::move(holders), tokens);
    lost = lost || transferred.unaccounted_;
    holders.clear();
    for (auto& daemon : transferred.recipients_) {
      if (queried.insert(daemon).second) {
        holders.push_back(std::move(daemon));
      }
    }
  }
  co_return lost;
}

auto program_store::request_from_peers(entry_pointer program, std::vector<std::string> holders,
                                       std::int64_t tokens) -> task<transferred_tokens> {
  auto transferred = transferred_tokens{};
  if (budget_peers_) {
    transferred = co_await budget_peers_->request_tokens(program->name_, std::move(holders), tokens);
  }
  program->drawn_ += transferred.tokens_;
  co_return transferred;
}

auto program_store::draw_from_store(entry_pointer program, const turn_request& order, milliseconds time_left)
    -> task<status> {
  if (!rows_->reachable()) {
    co_return unavailable_error("store is unreachable");
  }
  auto pending = std::make_shared<change>(*loop_);
  pending->kind_ = change::kind::draw;
  pending->turn_ = order.turn_;
  pending->reservation_ = order.turn_ + "#" + std::to_string(++draws_);  // A turn may draw more than once.
  pending->tokens_ = std::max<std::int64_t>(order.max_tokens_ - program->drawn_, 0);
  pending->max_tokens_ = order.max_tokens_;
  pending->budget_ = order.budget_;
  pending->times_out_at_ = clock_.now() + std::min(time_left, settings_.max_start_wait_);
  if (program->version_ == version_not_read) {
    program->version_ = version_absent;  // Usually a first turn; an existing program causes a conflict.
  }
  queue(program, pending);
  auto due = clock_.now() + time_left;
  while (!pending->done_ && clock_.now() < due && rows_->reachable()) {
    co_await pending->finished_.wait_for(std::min(outage_poll_interval, due - clock_.now()));
  }
  if (pending->done_) {
    co_return pending->outcome_;
  }
  pending->expired_ =
      true;  // If the draw is committed later, the program's next turn on this daemon uses it.
  pending->times_out_at_ = clock_.now();
  co_return unavailable_error("store did not respond in time");
}

auto program_store::apply_draw(const entry& program, const change& pending, program_record& record) const
    -> change_result {
  auto before = record.drawn_.find(settings_.daemon_);
  if (before != record.drawn_.end() && before->second.last_draw_ == pending.reservation_) {
    return change_result::done_before;
  }
  auto drawn = pending.tokens_;
  if (auto refused = check_budget(program, pending, record)) {
    return *refused;
  }
  auto left = std::max<std::int64_t>(*pending.budget_ - record.committed() - drawn - pending.max_tokens_, 0);
  drawn += static_cast<std::int64_t>(settings_.draw_ahead_ * static_cast<double>(left));
  auto& ours = record.drawn_[settings_.daemon_];
  record.spent_ += drawn;
  ours = {ours.tokens_ + drawn, pending.reservation_, drawn};
  return change_result::applied;
}

auto program_store::complete_draw(entry& program, const change& pending, change_result change_outcome,
                                  const program_record& record) const -> void {
  if (change_outcome != change_result::applied && change_outcome != change_result::done_before) {
    return;
  }
  auto drawn = record.drawn_.at(settings_.daemon_).last_tokens_;
  program.drawn_ += drawn;
  log_event(log_level::info, "budget_drawn",
            {{"request", pending.turn_},
             {"program", program.name_},
             {"tokens", drawn},
             {"spent", record.spent_},
             {"budget", *pending.budget_}});
}

auto program_store::return_tokens(const scoped_name& program, std::int64_t tokens) -> void {
  entry_of(program)->drawn_ += std::max<std::int64_t>(tokens, 0);
}

auto program_store::transfer_tokens(const std::string& program_key, const std::string& to,
                                    std::int64_t tokens) -> transferred_tokens {
  auto transferred = transferred_tokens{};
  auto found = entries_.find(program_key);
  if (found == entries_.end()) {
    return transferred;
  }
  auto& program = *found->second;
  transferred.tokens_ = std::min(std::max(tokens, program.drawn_ / 2), program.drawn_);
  transferred.recipients_.assign(program.transferred_to_.begin(), program.transferred_to_.end());
  program.drawn_ -= transferred.tokens_;
  if (transferred.tokens_ > 0) {
    program.transferred_to_.insert(to);
  }
  return transferred;
}

}  // namespace birchlever
