#include "birchlever/storage/row_store_interface.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto next_key_suffix = '\x01';  // Appended to a key to continue reading after it.

constexpr auto entry_syntax = std::size_t{128};  // Field names and punctuation of one entry.

/// Returns the length of a text in a JSON string.
auto encoded_length(const std::string& text) -> std::size_t {
  constexpr auto escape_length = std::size_t{6};
  constexpr auto first_printable = 0x20U;
  auto length = std::size_t{0};
  for (auto character : text) {
    auto is_control = static_cast<unsigned char>(character) < first_printable;
    auto is_escaped = character == '"' || character == '\\';
    length += is_control ? escape_length : is_escaped ? 2 : 1;
  }
  return length;
}

}  // namespace

auto max_encoded_size(std::size_t value_bytes) -> std::size_t {
  constexpr auto group_bytes = std::size_t{3};  // Base64 encodes each, and a part of one, as four characters.
  return (value_bytes + group_bytes - 1) / group_bytes * 4 + entry_syntax;
}

auto max_encoded_size(const row_key& key) -> std::size_t {
  return entry_syntax + encoded_length(key.table_) + encoded_length(key.partition_) +
         encoded_length(key.key_);
}

auto max_encoded_size(const stored_row& put) -> std::size_t {
  return max_encoded_size(put.key_) + max_encoded_size(put.value_.size());
}

auto max_encoded_size(const row_transaction& transaction) -> std::size_t {
  auto bytes = entry_syntax;
  for (const auto& condition : transaction.conditions_) {
    bytes += max_encoded_size(condition.key_);
  }
  for (const auto& put : transaction.puts_) {
    bytes += max_encoded_size(put);
  }
  for (const auto& removal : transaction.removals_) {
    bytes += max_encoded_size(removal);
  }
  return bytes;
}

auto read_all(row_store_interface& rows, row_range range, milliseconds page_limit, milliseconds time_left)
    -> task<result<row_page>> {
  auto clock = steady_clock{};
  auto deadline = clock.now() + time_left;
  auto all = row_page{};
  auto more = true;
  while (more) {
    auto page = co_await rows.read(range, std::min(page_limit, deadline - clock.now()));
    if (!ok(page)) {
      co_return failure(page);
    }
    auto& read = value(page);
    all.version_ = all.version_ == 0 ? read.version_ : std::min(all.version_, read.version_);
    all.store_time_ = read.store_time_;
    more = read.more_ && !read.rows_.empty();
    for (auto& row : read.rows_) {
      all.rows_.push_back(std::move(row));
    }
    if (more) {
      range.from_ = all.rows_.back().key_.key_ + next_key_suffix;
    }
  }
  co_return all;
}

}  // namespace birchlever
