/// Keeps the directory of upstreams in sync with the platform's list.
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

/// Used by coroutines of one event loop. An entry that expired while the store was unreachable is removed
/// only if it is still missing some time after the store is reachable again.
class upstream_follower : public std::enable_shared_from_this<upstream_follower> {
 public:
  /// Decodes an upstream's row. A row that fails to decode is logged and left out.
  using decode_function = std::function<result<upstream_entry>(const std::string& id, std::string_view text)>;

  /// Follows the table, through peers if `feed` is set. `expiry_grace` is the time in ms within which expired
  /// entries may be listed again after an outage of the store.
  static auto create(event_loop& loop, std::shared_ptr<row_store_interface> rows, const std::string& table,
                     std::shared_ptr<upstream_directory> directory, decode_function decode,
                     milliseconds expiry_grace, std::shared_ptr<peer_feed> feed = nullptr)
      -> std::shared_ptr<upstream_follower>;

  /// Returns true once the first page of the list was read.
  [[nodiscard]] auto primed() const -> bool { return follower_->first_page_read(); }

  /// Returns true while the store does not respond.
  [[nodiscard]] auto store_unreachable() const -> bool { return follower_->store_unreachable(); }

  /// Returns the number of entries so far that could not be decoded.
  [[nodiscard]] auto unreadable() const -> std::int64_t { return unreadable_; }

 private:
  upstream_follower(event_loop& loop, std::shared_ptr<upstream_directory> directory, decode_function decode,
                    milliseconds expiry_grace);

  auto add_page(const std::vector<stored_row>& rows) -> void;
  auto finish_scan(std::int64_t version) -> void;
  auto apply_changes(const std::vector<stored_row>& rows) -> void;
  auto put(const stored_row& row, bool announced) -> void;
  auto record_unreadable(const stored_row& row, const error& reason) -> void;
  auto remove(const std::string& id) -> void;
  auto remove_expired() -> task<>;

  event_loop* loop_;
  std::shared_ptr<upstream_directory> directory_;
  decode_function decode_;
  milliseconds expiry_grace_;
  steady_clock clock_;
  std::int64_t unreadable_ = 0;
  std::set<std::string> logged_unreadable_;
  std::shared_ptr<table_follower> follower_;
  std::unordered_set<std::string> scanned_;      ///< Ids delivered by the scan in progress.
  std::map<std::string, milliseconds> expired_;  ///< Time of removal, by id.
};

}  // namespace birchlever
