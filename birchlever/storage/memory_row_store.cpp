#include "birchlever/storage/memory_row_store.h"

namespace birchlever {
namespace {

constexpr auto retry_later_ms = milliseconds{500};
constexpr auto max_page_bytes =
    std::size_t{1'000'000};  // Of the encoded rows of a page; one row always fits.

auto row_id_of(const row_key& key) -> std::tuple<std::string, std::string, std::string> {
  return {key.table_, key.partition_, key.key_};
}

auto unavailable() -> error {
  return error{error_code::store_unavailable, "store is unavailable", ran_state::not_run, retry_later_ms};
}

auto unknown() -> error {
  return error{error_code::store_unknown, "response of the store was lost", ran_state::outcome_unknown,
               retry_later_ms};
}

}  // namespace

auto memory_row_store::apply(const row_transaction& transaction) -> commit_outcome {
  auto outcome = commit_outcome{true, version_ + 1, {}, clock_.now()};
  for (const auto& condition : transaction.conditions_) {
    auto found = rows_.find(row_id_of(condition.key_));
    auto current = found == rows_.end() ? stored_row{condition.key_, {}, 0, false} : found->second;
    outcome.committed_ = outcome.committed_ && current.version_ == condition.version_;
    outcome.conflicts_.push_back(std::move(current));
  }
  if (!outcome.committed_) {
    outcome.version_ = version_;
    return outcome;
  }
  outcome.conflicts_.clear();
  ++version_;
  for (auto row : transaction.puts_) {
    row.version_ = version_;
    rows_[row_id_of(row.key_)] = row;
    history_.push_back(std::move(row));
  }
  for (const auto& key : transaction.removals_) {
    if (rows_.erase(row_id_of(key)) > 0) {
      history_.push_back({key, {}, version_, true});
    }
  }
  changed_.notify();
  return outcome;
}

auto memory_row_store::exceeds_limits(const row_transaction& transaction) const -> bool {
  auto entries = transaction.conditions_.size() + transaction.puts_.size() + transaction.removals_.size();
  return entries > enforced_.entries_ || max_encoded_size(transaction) > enforced_.bytes_;
}

auto memory_row_store::apply_late(row_transaction transaction, milliseconds delay) -> task<> {
  co_await pause_for(*loop_, delay);
  apply(transaction);
}

auto memory_row_store::wait_until_reachable(milliseconds limit) -> task<bool> {
  constexpr auto poll_interval = milliseconds{5};
  auto deadline = clock_.now() + limit;
  while (faults_.down_ && clock_.now() < deadline) {
    co_await pause_for(*loop_, poll_interval);
  }
  co_return !faults_.down_;
}

auto memory_row_store::commit(row_transaction transaction, milliseconds /*time_left*/)
    -> task<result<commit_outcome>> {
  ++commits_;
  co_await pause_for(*loop_, 0);
  if (faults_.down_) {
    co_return unavailable();
  }
  if (faults_.lose_calls_ > 0) {
    --faults_.lose_calls_;
    co_return unknown();
  }
  if (faults_.late_commits_ > 0) {
    --faults_.late_commits_;
    start(*loop_, "apply_late", apply_late(std::move(transaction), faults_.late_ms_));
    co_return unknown();
  }
  if (exceeds_limits(transaction)) {
    co_return error{error_code::store_rejected, "transaction exceeds the limits of the store"};
  }
  auto outcome = apply(transaction);
  if (outcome.committed_ && faults_.lose_answers_ > 0) {
    --faults_.lose_answers_;
    co_return unknown();
  }
  co_return outcome;
}

auto memory_row_store::read(row_range range, milliseconds /*time_left*/) -> task<result<row_page>> {
  ++reads_;
  co_await pause_for(*loop_, 0);
  if (faults_.down_) {
    co_return unavailable();
  }
  auto page = row_page{};
  page.version_ = version_;
  page.store_time_ = clock_.now();
  auto page_bytes = std::size_t{0};
  for (auto next = rows_.lower_bound({range.table_, range.partition_, range.from_}); next != rows_.end();
       ++next) {
    const auto& key = next->second.key_;
    auto in_range = key.table_ == range.table_ && key.partition_ == range.partition_ &&
                    (range.until_.empty() || key.key_ < range.until_);
    if (!in_range) {
      break;
    }
    page_bytes += max_encoded_size(next->second);
    auto full = static_cast<int>(page.rows_.size()) >= range.limit_ ||
                (page_bytes > max_page_bytes && !page.rows_.empty());
    if (full) {
      page.more_ = true;
      break;
    }
    page.rows_.push_back(next->second);
  }
  co_return page;
}

auto memory_row_store::changes(std::string table, std::int64_t after, milliseconds wait)
    -> task<result<row_page>> {
  co_await pause_for(*loop_, 0);
  if (faults_.down_) {
    co_return unavailable();
  }
  if (std::exchange(faults_.history_gone_, false)) {
    co_return error{error_code::store_conflict, "change history is no longer available"};
  }
  if (version_ <= after) {
    co_await changed_.wait_for(wait);
  }
  auto page = row_page{};
  page.version_ = std::max(version_, after);
  page.store_time_ = clock_.now();
  for (const auto& row : history_) {
    if (row.version_ > after && row.key_.table_ == table) {
      page.rows_.push_back(row);
    }
  }
  co_return page;
}

auto memory_row_store::partitions(std::string table, std::string after, milliseconds /*time_left*/)
    -> task<result<std::vector<std::string>>> {
  co_await pause_for(*loop_, 0);
  if (faults_.down_) {
    co_return unavailable();
  }
  auto names = std::vector<std::string>{};
  for (const auto& [key, row] : rows_) {
    auto is_new = names.empty() || names.back() != row.key_.partition_;
    if (row.key_.table_ == table && row.key_.partition_ > after && is_new) {
      names.push_back(row.key_.partition_);
    }
  }
  co_return names;
}

auto memory_row_store::put(const row_key& key, const std::string& value) -> void {
  apply(row_transaction{{}, {{key, value}}, {}});
}

auto memory_row_store::remove(const row_key& key) -> void {
  apply(row_transaction{{}, {}, {key}});
}

}  // namespace birchlever
