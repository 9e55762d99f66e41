/// Keeps the directory of upstreams in step with the platform's list.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "birchlever/controllers/table_follower.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

class peer_feed;

/// For coroutines of one loop. An entry that lapses while the store is away may come back: it goes only when
/// it is still missing some time after the store's return.
class upstream_follower : public std::enable_shared_from_this<upstream_follower> {
 public:
  /// Reads an upstream's row. Failures: any; the row is then left out, with a log line.
  using decode_function = std::function<result<upstream_entry>(const std::string& id, std::string_view text)>;

  /// Follows the table, through peers where `feed` is given; `lapse_return` is the time in ms within which
  /// lapsed entries are back.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows, const std::string& table,
                     std::shared_ptr<upstream_directory> directory, decode_function decode,
                     milliseconds lapse_return, std::shared_ptr<peer_feed> feed = nullptr)
      -> std::shared_ptr<upstream_follower>;

  /// True once enough of the list was read to serve with: its first page, which holds hundreds.
  [[nodiscard]] auto primed() const -> bool { return follower_->begun(); }

  /// True while the store does not answer.
  [[nodiscard]] auto lost() const -> bool { return follower_->lost(); }

  /// Entries so far that named no upstream to use.
  [[nodiscard]] auto unreadable() const -> std::int64_t { return unreadable_; }

 private:
  upstream_follower(event_loop& loop, std::shared_ptr<upstream_directory> directory, decode_function decode,
                    milliseconds lapse_return);

  auto take_page(const std::vector<stored_row>& rows) -> void;
  auto end_scan(std::int64_t version) -> void;
  auto take_changes(const std::vector<stored_row>& rows) -> void;
  auto put(const stored_row& row, bool announced) -> void;
  auto note_unreadable(const stored_row& row, const error& reason) -> void;
  auto remove(const std::string& id) -> void;
  auto remove_lapsed() -> task<>;

  event_loop* loop_;
  std::shared_ptr<upstream_directory> directory_;
  decode_function decode_;
  milliseconds lapse_return_;
  steady_clock clock_;
  std::int64_t unreadable_ = 0;
  std::set<std::string> told_unreadable_;
  std::shared_ptr<table_follower> follower_;
  std::unordered_set<std::string> scanned_;     ///< Ids that the scan under way has told.
  std::map<std::string, milliseconds> lapsed_;  ///< By id: when it is taken for gone.
};

}  // namespace birchlever
