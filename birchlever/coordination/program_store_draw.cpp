/// The part of program_store that draws budgets in advance, for turns of which nothing is kept.
///
/// A draw takes what its turn lacks and a share of the rest, so that most later turns need no call. It counts
/// as spent from then on; what its turns leave pays for later turns here, or is handed to daemons that ask.
#include <algorithm>
#include <set>

#include "birchlever/coordination/program_store_state.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto look_for_outage_gap =
    milliseconds{100};  // A turn that waits for a draw notices an outage so late.

}  // namespace

auto program_store::take_drawn(entry& program, std::int64_t tokens, std::int64_t least)
    -> std::optional<std::int64_t> {
  if (program.drawn_ < least) {
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
  ++program->users_;
  auto drawn = co_await draw_for(program, order, std::min(time_left, settings_.begin_limit_));
  --program->users_;
  shrink();
  co_return drawn;
}

auto program_store::draw_for(entry_pointer program, const turn_request& order, milliseconds time_left)
    -> task<result<std::int64_t>> {
  auto most = order.max_tokens_;
  auto due = clock_.now() + time_left;
  while (true) {
    // Turns of the program that begin at the same time may take what this one has drawn; then it draws again.
    if (auto taken = take_drawn(*program, most, most)) {
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
    auto lost = co_await collect_from_peers(program, most);
    if (lost && program->drawn_ < most) {
      co_await add_allowance(program, most);
    }
    // Never with less than its most: a stream that is cut while nothing else is wrong is a lost request.
    if (auto taken = take_drawn(*program, most, most)) {
      co_return *taken;
    }
    co_return reason;
  }
}

auto program_store::least_of(std::int64_t most) const -> std::int64_t {
  return static_cast<std::int64_t>(settings_.least_drawn_ * static_cast<double>(most));
}

auto program_store::draw_without_store(entry_pointer program, const turn_request& order, error reason)
    -> task<result<std::int64_t>> {
  auto most = order.max_tokens_;
  if (program->drawn_ < most) {
    auto whoever_is_near = std::vector<std::string>{};
    co_await ask_peers(program, std::move(whoever_is_near), most);
  }
  if (program->drawn_ < most) {
    co_await add_allowance(program, most);
  }
  // A store that is reached and only has not answered in time is no outage: its caller comes back soon, and a
  // stream that is cut for want of tokens would be lost for nothing.
  auto least = rows_->reachable() ? most : least_of(most);
  if (auto taken = take_drawn(*program, most, least)) {
    log_event(log_level::info, "budget_drawn_without_store",
              {{"request", order.turn_}, {"program", program->name_}, {"tokens", *taken}, {"most", most}});
    co_return *taken;
  }
  co_return reason;
}

auto program_store::add_allowance(entry_pointer program, std::int64_t tokens) -> task<> {
  if (budget_peers_) {
    program->drawn_ += co_await budget_peers_->request_allowance(program->name_, tokens);
  }
}

/// Asks all that hold tokens of the program until there are enough. True when some may be lost.
auto program_store::collect_from_peers(entry_pointer program, std::int64_t tokens) -> task<bool> {
  auto asked = std::set<std::string>{settings_.daemon_};
  auto holders = std::vector<std::string>{};
  for (const auto& [daemon, drawn] : program->record_.drawn_) {
    if (asked.insert(daemon).second) {
      holders.push_back(daemon);
    }
  }
  auto lost = false;
  while (!holders.empty() && program->drawn_ < tokens) {
    auto handed = co_await ask_peers(program, std::move(holders), tokens);
    lost = lost || handed.unaccounted_;
    holders.clear();
    for (auto& daemon : handed.recipients_) {
      if (asked.insert(daemon).second) {
        holders.push_back(std::move(daemon));
      }
    }
  }
  co_return lost;
}

auto program_store::ask_peers(entry_pointer program, std::vector<std::string> holders, std::int64_t tokens)
    -> task<transferred_tokens> {
  auto handed = transferred_tokens{};
  if (budget_peers_) {
    handed = co_await budget_peers_->request_tokens(program->name_, std::move(holders), tokens);
  }
  program->drawn_ += handed.tokens_;
  co_return handed;
}

auto program_store::draw_from_store(entry_pointer program, const turn_request& order, milliseconds time_left)
    -> task<status> {
  if (!rows_->reachable()) {
    co_return store_away("the store does not answer");
  }
  auto wanted = std::make_shared<change>(*loop_);
  wanted->kind_ = change::kind::draw;
  wanted->turn_ = order.turn_;
  wanted->reservation_ = order.turn_ + "#" + std::to_string(++draws_);  // A turn may draw more than once.
  wanted->tokens_ = std::max<std::int64_t>(order.max_tokens_ - program->drawn_, 0);
  wanted->max_tokens_ = order.max_tokens_;
  wanted->budget_ = order.budget_;
  wanted->give_up_at_ = clock_.now() + std::min(time_left, settings_.max_start_wait_);
  if (program->version_ == version_not_read) {
    program->version_ = version_absent;  // Mostly a first turn; a program that exists shows as a conflict.
  }
  queue(program, wanted);
  auto due = clock_.now() + time_left;
  while (!wanted->done_ && clock_.now() < due && rows_->reachable()) {
    co_await wanted->finished_.wait_for(std::min(look_for_outage_gap, due - clock_.now()));
  }
  if (wanted->done_) {
    co_return wanted->outcome_;
  }
  wanted->expired_ = true;  // A draw that is committed later is for the program's next turn here.
  wanted->give_up_at_ = clock_.now();
  co_return store_away("the store has not answered in time");
}

auto program_store::apply_draw(const entry& program, const change& wanted, program_record& record) const
    -> verdict {
  auto before = record.drawn_.find(settings_.daemon_);
  if (before != record.drawn_.end() && before->second.last_draw_ == wanted.reservation_) {
    return verdict::done_before;
  }
  if (refusal_of(program, wanted, record) && store_clock_known_) {
    record.drop_expired(store_now());
  }
  auto drawn = wanted.tokens_;
  if (auto refused = refusal_of(program, wanted, record)) {
    return *refused;
  }
  auto left = std::max<std::int64_t>(*wanted.budget_ - record.committed() - drawn - wanted.max_tokens_, 0);
  drawn += static_cast<std::int64_t>(settings_.draw_ahead_ * static_cast<double>(left));
  auto& ours = record.drawn_[settings_.daemon_];
  record.spent_ += drawn;
  ours = {ours.tokens_ + drawn, wanted.reservation_, drawn};
  return verdict::applied;
}

auto program_store::conclude_draw(entry& program, const change& wanted, verdict what,
                                  const program_record& record) const -> void {
  if (what != verdict::applied && what != verdict::done_before) {
    return;
  }
  auto drawn = record.drawn_.at(settings_.daemon_).last_tokens_;
  program.drawn_ += drawn;
  log_event(log_level::info, "budget_drawn",
            {{"request", wanted.turn_},
             {"program", program.name_},
             {"tokens", drawn},
             {"spent", record.spent_},
             {"budget", *wanted.budget_}});
}

auto program_store::return_tokens(const scoped_name& program, std::int64_t tokens) -> void {
  entry_of(program)->drawn_ += std::max<std::int64_t>(tokens, 0);
}

auto program_store::transfer_tokens(const std::string& program_key, const std::string& to,
                                    std::int64_t tokens) -> transferred_tokens {
  auto handed = transferred_tokens{};
  auto found = entries_.find(program_key);
  if (found == entries_.end()) {
    return handed;
  }
  auto& program = *found->second;
  handed.tokens_ = std::min(std::max(tokens, program.drawn_ / 2), program.drawn_);
  handed.recipients_.assign(program.handed_to_.begin(), program.handed_to_.end());
  program.drawn_ -= handed.tokens_;
  if (handed.tokens_ > 0) {
    program.handed_to_.insert(to);
  }
  return handed;
}

}  // namespace birchlever
