#include "birchlever/storage/row_store_interface.h"

#include <algorithm>

namespace birchlever {
namespace {

constexpr auto next_key_suffix = '\x01';  // Appended to a key to continue reading after it.

}  // namespace

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
