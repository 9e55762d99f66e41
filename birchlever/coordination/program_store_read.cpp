/// The part of program_store that reads rows into memory.
#include <algorithm>
#include <set>

#include "birchlever/coordination/program_store_state.h"

namespace birchlever {
namespace {

constexpr auto key_successor =
    '\x01';  // Appended to a key, gives the exclusive end of a range of only that key.

auto starts_with(const std::string& text, const std::string& start) -> bool {
  return text.compare(0, start.size(), start) == 0;
}

/// Results of the partitions in the search for a turn's program.
struct part_search {
  explicit part_search(event_loop& loop) : responded_{loop} {}

  int pending_partitions_ = 0;
  std::optional<std::string> program_;
  std::optional<error> failure_;
  loop_signal responded_;
};

auto search_partition(std::shared_ptr<row_store_interface> rows, row_range range, milliseconds time_left,
                      std::shared_ptr<part_search> search) -> task<> {
  auto page = co_await rows->read(range, time_left);
  --search->pending_partitions_;
  if (!ok(page)) {
    search->failure_ = failure(page);
  } else if (!value(page).rows_.empty()) {
    search->program_ = value(page).rows_.front().value_;
  }
  search->responded_.notify();
}

}  // namespace

auto program_store::cache_turn(entry& program, const std::string& turn, record_pointer record) -> void {
  auto bytes = bytes_of(*record);
  turn_programs_[turn] = program.name_;
  if (program.turns_.emplace(turn, std::move(record)).second) {
    cached_bytes_ += bytes;
  }
}

auto program_store::cached(const std::string& turn) const -> record_pointer {
  auto turn_program = turn_programs_.find(turn);
  if (turn_program == turn_programs_.end()) {
    return nullptr;
  }
  return entries_.at(turn_program->second)->turns_.at(turn);
}

auto program_store::expected_history(const scoped_name& turn) const -> std::size_t {
  auto bytes = std::size_t{0};
  for (auto next = turn.name_; !next.empty();) {
    auto record = cached(key_name(scoped_name{turn.account_, next}));
    if (!record) {
      return std::max(bytes, history_bytes_.expected(clock_.now()));
    }
    bytes += bytes_of(*record);
    next = record->previous_;
  }
  return bytes;
}

auto program_store::apply_rows(entry& program, const std::vector<stored_row>& rows) -> status {
  auto prefix = turns_prefix(program.name_);
  auto pieces = std::map<std::string, std::string>{};
  auto stored_turns = std::set<std::string>{};
  for (const auto& row : rows) {
    if (row.version_ == version_absent || row.removed_) {
      continue;  // The row of a condition does not exist.
    }
    if (row.key_.key_ == budget_key(program.name_)) {
      auto decoded = decode_program(row.value_);
      if (!ok(decoded)) {
        return failure(decoded);
      }
      program.record_ = std::move(value(decoded));
      program.version_ = row.version_;
    } else if (starts_with(row.key_.key_, prefix)) {
      auto name = row.key_.key_.substr(prefix.size());
      auto separator = name.rfind('/');
      auto turn = name.substr(0, separator);
      pieces[turn] += row.value_;
      if (name.substr(separator + 1) == first_piece) {
        stored_turns.insert(turn);
      }
    }
  }
  for (const auto& [turn, bytes] : pieces) {
    if (program.turns_.count(turn) != 0) {
      turn_programs_.try_emplace(turn, program.name_);  // The program it was found in may be evicted.
      continue;
    }
    if (stored_turns.count(turn) == 0) {
      continue;
    }
    auto decoded = decode_turn(bytes);
    if (!ok(decoded)) {
      return failure(decoded);
    }
    cache_turn(program, turn, std::make_shared<const turn_record>(std::move(value(decoded))));
  }
  return success;
}

auto program_store::load(entry_pointer program, bool with_turns, milliseconds time_left) -> task<status> {
  auto first = budget_key(program->name_);
  auto range = row_range{settings_.table_, program->part_, first, first + key_successor};
  if (with_turns) {
    range.until_ = end_of_turns(program->name_);
  }
  auto requested_at = clock_.now();
  auto page = co_await read_all(*rows_, range, settings_.call_limit_, time_left);
  if (!ok(page)) {
    co_return failure(page);
  }
  record_store_clock(value(page).store_time_, requested_at);
  // A concurrent transaction may have changed the budget since; the next write then conflicts.
  program->version_ = version_absent;
  program->record_ = program_record{};
  program->record_at_ = requested_at;
  co_return apply_rows(*program, value(page).rows_);
}

auto program_store::collect(scoped_name program, std::string newest, milliseconds time_left)
    -> task<result<chain>> {
  auto due = clock_.now() + time_left;
  auto found = chain{};
  auto turn_program = key_name(program);
  auto key_of = [&](const std::string& turn) {
    return turn.empty() ? std::string{} : key_name(scoped_name{program.account_, turn});
  };
  auto next = key_of(newest);
  while (!next.empty()) {
    auto record = cached(next);
    if (!record) {
      auto fetched = co_await fetch(turn_program, next, due - clock_.now());
      if (!ok(fetched)) {
        co_return failure(fetched);
      }
      record = value(fetched);
    }
    auto at = turn_programs_.find(next);
    turn_program = at == turn_programs_.end() ? turn_program : at->second;
    if (found.turns_.empty()) {
      found.newest_program_ = turn_program;
    }
    next = key_of(record->previous_);
    found.turns_.push_back(std::move(record));
  }
  co_return found;
}

auto program_store::fetch(std::string program, std::string turn, milliseconds time_left)
    -> task<result<record_pointer>> {
  auto due = clock_.now() + time_left;
  auto loaded = co_await load(entry_named(program), true, time_left);
  if (!ok(loaded)) {
    co_return unavailable_error("history of the turn is not readable: " + failure(loaded).detail_);
  }
  if (auto record = cached(turn)) {
    co_return record;
  }
  auto turn_program = co_await find_program(turn, due - clock_.now());
  if (!ok(turn_program)) {
    co_return unavailable_error("lookup of the turn's program failed: " + failure(turn_program).detail_);
  }
  if (value(turn_program)) {
    loaded = co_await load(entry_named(*value(turn_program)), true, due - clock_.now());
    if (!ok(loaded)) {
      co_return unavailable_error("history of the turn is not readable: " + failure(loaded).detail_);
    }
  }
  if (auto record = cached(turn)) {
    co_return record;
  }
  co_return error{error_code::unknown_turn, "turn " + turn + " is not stored"};
}

auto program_store::find_program(std::string turn, milliseconds time_left)
    -> task<result<std::optional<std::string>>> {
  auto due = clock_.now() + time_left;
  auto search = std::make_shared<part_search>(*loop_);
  search->pending_partitions_ = settings_.parts_;
  for (auto part = 0; part < settings_.parts_; ++part) {
    auto range = row_range{settings_.index_table_, part_name(part), turn, turn + key_successor, 1};
    start(*loop_, "ask_part", search_partition(rows_, std::move(range), time_left, search));
  }
  while (search->pending_partitions_ > 0 && !search->program_ && clock_.now() < due) {
    co_await search->responded_.wait_for(due - clock_.now());
  }
  if (search->program_) {
    co_return search->program_;
  }
  if (search->failure_ || search->pending_partitions_ > 0) {
    co_return search->failure_.value_or(
        unavailable_error("a partition of the index did not respond in time"));
  }
  co_return std::optional<std::string>{};
}

}  // namespace birchlever
