#include "birchlever/coordination/program_store.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto record_key = "budget";
constexpr auto turn_prefix = std::string_view{"turn/"};
constexpr auto behind_record_key = "budget!";  // The next key in order.
constexpr auto not_read = std::int64_t{-1};
constexpr auto absent = std::int64_t{0};
constexpr auto longest_name = std::size_t{64};     // Longer identities are hashed into a row's key.
constexpr auto most_batch = std::size_t{16};       // Changes in one transaction, which may hold 100 rows.
constexpr auto most_rows = std::size_t{40};        // Rows at which a batch takes no further change.
constexpr auto entry_overhead = std::size_t{512};  // Bytes an entry costs beside its histories, roughly.
constexpr auto first_pause_ms = milliseconds{40};  // Between tries while the store gives no answer.
constexpr auto longest_pause_ms = milliseconds{400};
constexpr auto retry_later_ms = milliseconds{500};  // What a refused turn is told.

/// An identity as part of a key: itself when it is short and plain, else its hash.
auto key_name(const std::string& identity) -> std::string {
  auto plain = [](unsigned char letter) {
    return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
  };
  if (!identity.empty() && identity.size() <= longest_name &&
      std::all_of(identity.begin(), identity.end(), plain)) {
    return identity;
  }
  auto text = std::array<char, 48>{};
  std::snprintf(text.data(), text.size(), "~%016llx%016llx",
                static_cast<unsigned long long>(hash_of(identity, 1)),
                static_cast<unsigned long long>(hash_of(identity, 2)));
  return text.data();
}

auto piece_key(const std::string& turn, int piece) -> std::string {
  auto number = std::array<char, 16>{};
  std::snprintf(number.data(), number.size(), "%03d", piece);
  return std::string{turn_prefix} + key_name(turn) + "/" + number.data();
}

auto size_of(const turn_record& record) -> std::size_t {
  return record.input_.size() + record.output_.size() + entry_overhead;
}

auto unavailable(const std::string& detail) -> error {
  return error{error_code::store_unavailable, detail, ran_state::not_run, retry_later_ms};
}

}  // namespace

/// One wanted change of a program's rows, and what became of it.
struct program_store::change {
  enum class kind { reserve, settle, release };

  explicit change(event_loop& loop) : finished_{loop} {}

  kind kind_ = kind::reserve;
  std::string turn_;
  std::int64_t tokens_ = 0;
  std::optional<std::int64_t> budget_;
  std::shared_ptr<const turn_record> whole_;
  milliseconds give_up_at_ = 0;
  bool sent_ = false;     ///< A transaction with it went out, so it may have been done.
  bool expired_ = false;  ///< Its caller has left.
  bool done_ = false;
  status outcome_ = success;
  loop_signal finished_;
};

/// What this daemon knows of a program.
struct program_store::entry {
  std::string part_;
  program_record record_;
  std::int64_t version_ = not_read;
  std::unordered_map<std::string, std::shared_ptr<const turn_record>> turns_;
  std::deque<change_pointer> queue_;
  bool writing_ = false;
  int users_ = 0;
  milliseconds last_used_ = 0;
};

/// What a change does to a record.
enum class program_store::verdict { applied, done_before, over_budget, expired };

/// The transaction that makes the next changes of a program.
struct program_store::batch_plan {
  program_record record_;
  row_transaction transaction_;
  std::vector<std::pair<change_pointer, verdict>> changes_;
  bool writes_ = false;
  bool needs_fresh_ = false;  ///< A refusal would rest on a record that others may have changed.
};

auto program_store::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                           const program_store_settings& settings) -> result<std::shared_ptr<program_store>> {
  if (settings.row_bytes_ == 0 || settings.table_.empty()) {
    return error{error_code::invalid_setting, "programs need a table and room in its rows"};
  }
  return std::shared_ptr<program_store>{new program_store{loop, std::move(rows), settings}};
}

program_store::program_store(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                             const program_store_settings& settings)
    : loop_{&loop}, rows_{std::move(rows)}, settings_{settings} {}

auto program_store::entry_of(const std::string& program) -> entry_pointer {
  auto& known = entries_[program];
  if (!known) {
    known = std::make_shared<entry>();
    known->part_ = key_name(program);
    cached_bytes_ += entry_overhead;
  }
  known->last_used_ = clock_.now();
  return known;
}

auto program_store::row_of(const entry& program, std::string key) const -> row_key {
  return row_key{settings_.table_, program.part_, std::move(key)};
}

auto program_store::remember(entry& program, const std::string& turn,
                             std::shared_ptr<const turn_record> record) -> void {
  auto bytes = size_of(*record);
  if (program.turns_.emplace(key_name(turn), std::move(record)).second) {
    cached_bytes_ += bytes;
  }
}

auto program_store::shrink() -> void {
  while (cached_bytes_ > settings_.cache_bytes_) {
    auto oldest = entries_.end();
    for (auto next = entries_.begin(); next != entries_.end(); ++next) {
      auto idle = next->second->users_ == 0 && next->second->queue_.empty() && !next->second->writing_;
      if (idle && (oldest == entries_.end() || next->second->last_used_ < oldest->second->last_used_)) {
        oldest = next;
      }
    }
    if (oldest == entries_.end()) {
      return;  // All that is left is in use.
    }
    cached_bytes_ -= entry_overhead;
    for (const auto& [turn, record] : oldest->second->turns_) {
      cached_bytes_ -= size_of(*record);
    }
    entries_.erase(oldest);
  }
}

auto program_store::take_rows(entry& program, const std::vector<stored_row>& rows) -> status {
  auto pieces = std::map<std::string, std::string>{};
  for (const auto& row : rows) {
    if (row.version_ == absent || row.removed_) {
      continue;  // A condition's row that is not there.
    }
    if (row.key_.key_ == record_key) {
      auto decoded = decode_program(row.value_);
      if (!ok(decoded)) {
        return failure(decoded);
      }
      program.record_ = std::move(value(decoded));
      program.version_ = row.version_;
    } else if (row.key_.key_.compare(0, turn_prefix.size(), turn_prefix) == 0) {
      auto name = row.key_.key_.substr(turn_prefix.size());
      pieces[name.substr(0, name.rfind('/'))] += row.value_;
    }
  }
  for (const auto& [turn, bytes] : pieces) {
    if (program.turns_.count(turn) != 0) {
      continue;
    }
    auto decoded = decode_turn(bytes);
    if (!ok(decoded)) {
      return failure(decoded);
    }
    remember(program, turn, std::make_shared<const turn_record>(std::move(value(decoded))));
  }
  return success;
}

auto program_store::load(entry_pointer program, bool with_turns, milliseconds time_left) -> task<status> {
  auto until = clock_.now() + time_left;
  auto range = row_range{settings_.table_, program->part_, record_key, with_turns ? "" : behind_record_key};
  auto rows = std::vector<stored_row>{};
  auto more = true;
  while (more) {
    auto page = co_await rows_->read(range, std::min(settings_.call_limit_, until - clock_.now()));
    if (!ok(page)) {
      co_return failure(page);
    }
    auto& read = value(page);
    store_clock_ahead_ = read.store_now_ - clock_.now();
    more = read.more_ && !read.rows_.empty();
    for (auto& row : read.rows_) {
      rows.push_back(std::move(row));
    }
    if (more) {
      range.from_ = rows.back().key_.key_ + '\x01';
    }
  }
  program->version_ = absent;
  program->record_ = program_record{};
  co_return take_rows(*program, rows);
}

auto program_store::history(const entry& program, const std::string& previous) const
    -> std::optional<std::string> {
  auto chain = std::vector<const turn_record*>{};
  auto next = previous;
  while (!next.empty()) {
    auto found = program.turns_.find(key_name(next));
    if (found == program.turns_.end() || chain.size() > program.turns_.size()) {
      return std::nullopt;
    }
    chain.push_back(found->second.get());
    next = found->second->previous_;
  }
  auto text = std::string{};
  for (auto turn = chain.rbegin(); turn != chain.rend(); ++turn) {
    text += (*turn)->input_;
    text += (*turn)->output_;
  }
  return text;
}

auto program_store::begin_turn(turn_order order, milliseconds time_left) -> task<result<turn_grant>> {
  auto self = shared_from_this();
  if (!rows_->reachable()) {
    co_return unavailable("the store does not answer");
  }
  auto program = entry_of(order.program_);
  auto due = clock_.now() + time_left;
  ++program->users_;
  auto leave = [&] {
    --program->users_;
    shrink();
  };
  auto past = history(*program, order.previous_);
  if (!past) {
    auto patience = std::min(settings_.call_limit_, time_left);
    auto loaded = co_await load(program, true, patience);
    if (!ok(loaded)) {
      leave();
      co_return unavailable("the history can't be read: " + failure(loaded).detail_);
    }
    past = history(*program, order.previous_);
  }
  if (!past) {
    leave();
    co_return error{error_code::unknown_turn, "no turn " + order.previous_ + " in program " + order.program_};
  }
  auto grant = turn_grant{std::move(*past), {}};
  if (auto last = program->turns_.find(key_name(order.previous_));
      !order.previous_.empty() && last != program->turns_.end()) {
    grant.last_upstream_ = last->second->upstream_;
  }
  auto wanted = std::make_shared<change>(*loop_);
  wanted->turn_ = order.turn_;
  wanted->tokens_ = order.most_tokens_;
  wanted->budget_ = order.budget_;
  wanted->give_up_at_ = std::min(due, clock_.now() + settings_.begin_patience_);
  if (order.previous_.empty() && program->version_ == not_read) {
    program->version_ = absent;  // A first turn; a program that exists shows itself as a conflict.
  }
  queue(program, wanted);
  auto reserved = co_await wait_for(wanted, time_left);
  if (!ok(reserved)) {
    auto refused = failure(reserved);
    wanted->expired_ = true;
    wanted->give_up_at_ = clock_.now();
    if (wanted->sent_ && refused.code_ != error_code::budget_exhausted) {
      cancel_turn(order.program_, order.turn_);  // It may have been reserved all the same.
    }
    leave();
    co_return refused;
  }
  leave();
  grant.prompt_ += order.input_;
  co_return grant;
}

auto program_store::end_turn(turn_end ended, milliseconds time_left) -> task<status> {
  auto self = shared_from_this();
  auto program = entry_of(ended.program_);
  auto wanted = std::make_shared<change>(*loop_);
  wanted->kind_ = change::kind::settle;
  wanted->turn_ = ended.turn_;
  wanted->tokens_ = ended.tokens_;
  wanted->give_up_at_ = clock_.now() + std::max(time_left, settings_.cleanup_patience_);
  if (ended.whole_) {
    wanted->whole_ = std::make_shared<const turn_record>(std::move(*ended.whole_));
  }
  queue(program, wanted);
  co_return co_await wait_for(wanted, time_left);
}

auto program_store::cancel_turn(std::string program, std::string turn) -> void {
  auto wanted = std::make_shared<change>(*loop_);
  wanted->kind_ = change::kind::release;
  wanted->turn_ = std::move(turn);
  wanted->give_up_at_ = clock_.now() + settings_.cleanup_patience_;
  queue(entry_of(program), wanted);
}

auto program_store::queue(const entry_pointer& program, change_pointer wanted) -> void {
  program->queue_.push_back(std::move(wanted));
  if (!program->writing_) {
    program->writing_ = true;
    start(*loop_, "write_changes", write_changes(program));
  }
}

auto program_store::wait_for(change_pointer wanted, milliseconds time_left) -> task<status> {
  auto due = clock_.now() + time_left;
  while (!wanted->done_ && clock_.now() < due) {
    co_await wanted->finished_.wait_for(due - clock_.now());
  }
  if (!wanted->done_) {
    co_return unavailable("the store has not answered in time");
  }
  co_return wanted->outcome_;
}

auto program_store::finish(const change_pointer& wanted, status outcome) -> void {
  wanted->done_ = true;
  wanted->outcome_ = std::move(outcome);
  wanted->finished_.notify();
}

auto program_store::drop_overdue(entry& program, const error& reason) -> void {
  auto now = clock_.now();
  auto overdue = [&](const change_pointer& wanted) {
    if (wanted->give_up_at_ > now) {
      return false;
    }
    if (wanted->kind_ != change::kind::reserve) {
      log_event(log_level::error, "program_change_given_up",
                {{"program", program.part_}, {"request", wanted->turn_}, {"detail", reason.detail_}});
    }
    finish(wanted, unavailable(reason.detail_));
    return true;
  };
  program.queue_.erase(std::remove_if(program.queue_.begin(), program.queue_.end(), overdue),
                       program.queue_.end());
}

auto program_store::write_changes(entry_pointer program) -> task<> {
  auto self = shared_from_this();
  auto pause = first_pause_ms;
  while (!program->queue_.empty()) {
    auto written = co_await write_batch(program);
    if (ok(written)) {
      pause = first_pause_ms;
      continue;
    }
    drop_overdue(*program, failure(written));
    co_await pause_for(*loop_, pause);
    pause = std::min(2 * pause, longest_pause_ms);
  }
  program->writing_ = false;
  shrink();
}

auto program_store::apply(const change& wanted, program_record& record) -> verdict {
  auto reserved = record.reserved_.find(wanted.turn_);
  switch (wanted.kind_) {
    case change::kind::reserve:
      if (reserved != record.reserved_.end()) {
        return verdict::done_before;
      }
      if (wanted.budget_ && record.committed() + wanted.tokens_ > *wanted.budget_) {
        return verdict::over_budget;
      }
      record.reserved_[wanted.turn_] = wanted.tokens_;
      return verdict::applied;
    case change::kind::settle:
      if (reserved == record.reserved_.end()) {
        return verdict::done_before;
      }
      record.spent_ += wanted.tokens_;
      record.reserved_.erase(reserved);
      return verdict::applied;
    case change::kind::release:
      // Written also when there is nothing to release: the new version keeps a reservation whose answer was
      // lost from being made later.
      record.reserved_.erase(wanted.turn_);
      return verdict::applied;
  }
  return verdict::done_before;
}

auto program_store::add_turn_rows(const entry& program, const change& wanted,
                                  row_transaction& transaction) const -> void {
  auto bytes = encode(*wanted.whole_);
  auto piece = 0;
  for (auto at = std::size_t{0}; at < bytes.size(); at += settings_.row_bytes_) {
    transaction.puts_.push_back(
        {row_of(program, piece_key(wanted.turn_, piece++)), bytes.substr(at, settings_.row_bytes_)});
  }
}

auto program_store::plan(entry& program, bool fresh) -> batch_plan {
  auto planned = batch_plan{};
  planned.record_ = program.record_;
  auto now = clock_.now();
  for (const auto& wanted : program.queue_) {
    if (planned.changes_.size() >= most_batch || planned.transaction_.puts_.size() >= most_rows) {
      break;
    }
    auto expired = wanted->kind_ == change::kind::reserve && wanted->give_up_at_ <= now && wanted->expired_;
    auto what = expired ? verdict::expired : apply(*wanted, planned.record_);
    if (what == verdict::over_budget && !fresh) {
      planned.needs_fresh_ = true;
      return planned;
    }
    planned.changes_.emplace_back(wanted, what);
    if (what != verdict::applied) {
      continue;
    }
    planned.writes_ = true;
    if (wanted->whole_) {
      add_turn_rows(program, *wanted, planned.transaction_);
    }
  }
  planned.record_.touched_at_ = now + store_clock_ahead_;
  planned.transaction_.conditions_.push_back({row_of(program, record_key), program.version_});
  planned.transaction_.puts_.push_back({row_of(program, record_key), encode(planned.record_)});
  return planned;
}

auto program_store::conclude(entry& program, const batch_plan& planned) -> void {
  for (const auto& [wanted, what] : planned.changes_) {
    if (wanted->whole_) {
      remember(program, wanted->turn_, wanted->whole_);
    }
    if (what == verdict::over_budget) {
      finish(wanted, error{error_code::budget_exhausted, "the program's budget does not hold this turn"});
    } else if (what == verdict::expired) {
      finish(wanted, unavailable("the turn was given up before its budget was reserved"));
    } else {
      finish(wanted, success);
    }
    auto place = std::find(program.queue_.begin(), program.queue_.end(), wanted);
    if (place != program.queue_.end()) {
      program.queue_.erase(place);
    }
  }
}

auto program_store::write_batch(entry_pointer program) -> task<status> {
  auto fresh = false;
  while (true) {
    if (program->version_ == not_read) {
      auto loaded = co_await load(program, false, settings_.call_limit_);
      if (!ok(loaded)) {
        co_return failure(loaded);
      }
      fresh = true;
    }
    auto planned = plan(*program, fresh);
    if (planned.needs_fresh_) {
      program->version_ = not_read;  // A refusal must rest on what the store says now.
      continue;
    }
    if (!planned.writes_) {
      conclude(*program, planned);
      co_return success;
    }
    for (const auto& [wanted, what] : planned.changes_) {
      wanted->sent_ = true;
    }
    auto committed = co_await rows_->commit(planned.transaction_, settings_.call_limit_);
    if (!ok(committed)) {
      co_return failure(committed);
    }
    const auto& outcome = value(committed);
    store_clock_ahead_ = outcome.store_now_ - clock_.now();
    if (outcome.committed_) {
      program->record_ = planned.record_;
      program->version_ = outcome.version_;
      conclude(*program, planned);
      co_return success;
    }
    program->version_ = absent;
    program->record_ = program_record{};
    auto taken = take_rows(*program, outcome.conflicts_);
    if (!ok(taken)) {
      program->version_ = not_read;
      co_return failure(taken);
    }
    fresh = true;
  }
}

}  // namespace birchlever
