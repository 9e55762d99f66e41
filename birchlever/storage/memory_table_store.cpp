#include "birchlever/storage/memory_table_store.h"

namespace birchlever {

auto memory_table_store::version_of(const std::string& key) const -> std::int64_t {
  auto found = rows_.find(key);
  return found == rows_.end() ? 0 : found->second.version_;
}

auto memory_table_store::commit(const table_transaction& transaction) -> result<std::int64_t> {
  auto lock = std::lock_guard{mutex_};
  for (const auto& condition : transaction.conditions_) {
    if (version_of(condition.key_) != condition.version_) {
      return error{error_code::store_conflict, "version of row " + condition.key_ + " does not match"};
    }
  }
  auto version = ++last_version_;
  for (const auto& put : transaction.puts_) {
    rows_[put.key_] = table_row{put.key_, put.value_, version, transaction.write_id_};
  }
  for (const auto& key : transaction.deletes_) {
    rows_.erase(key);
  }
  return version;
}

auto memory_table_store::read(const std::string& key) -> result<std::optional<table_row>> {
  auto lock = std::lock_guard{mutex_};
  auto found = rows_.find(key);
  if (found == rows_.end()) {
    return std::optional<table_row>{};
  }
  return std::optional{found->second};
}

auto memory_table_store::scan(const std::string& prefix, const std::string& after, int limit)
    -> result<std::vector<table_row>> {
  auto lock = std::lock_guard{mutex_};
  auto rows = std::vector<table_row>{};
  auto next = after.empty() ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  while (next != rows_.end() && next->first.compare(0, prefix.size(), prefix) == 0 &&
         rows.size() < static_cast<std::size_t>(limit)) {
    rows.push_back(next->second);
    ++next;
  }
  return rows;
}

auto memory_table_store::put_object(const std::string& key, const std::string& bytes) -> status {
  auto lock = std::lock_guard{mutex_};
  objects_[key] = bytes;
  return success;
}

auto memory_table_store::get_object(const std::string& key) -> result<std::optional<std::string>> {
  auto lock = std::lock_guard{mutex_};
  auto found = objects_.find(key);
  if (found == objects_.end()) {
    return std::optional<std::string>{};
  }
  return std::optional{found->second};
}

auto memory_table_store::delete_object(const std::string& key) -> status {
  auto lock = std::lock_guard{mutex_};
  objects_.erase(key);
  return success;
}

}  // namespace birchlever
