/// Stand-in of the platform's store: rows in tables and parts, transactions, reads and the change feed, as
/// PROTOCOL.md ("The platform's metadata store") has them. Linearizable: one lock orders all calls.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "wire.h"

namespace review {

/// Answers calls on a loopback address until the process ends.
class store {
 public:
  explicit store(const std::string& ip);

  /// The address of the store.
  [[nodiscard]] auto address() const -> std::string { return listener_.address(); }

  /// Writes a row with an empty part as the operator or a server does.
  auto put(const std::string& table, const std::string& key, const nlohmann::json& value) -> void;

 private:
  using row_name = std::tuple<std::string, std::string, std::string>;  // Table, part, key.
  struct row {
    std::string value_;  // In base64, as sent.
    std::int64_t version_ = 0;
  };
  struct change {
    row_name name_;
    std::int64_t version_ = 0;
    bool removed_ = false;
  };
  using query = std::map<std::string, std::string>;

  /// Calls allowed in a second.
  struct rate {
    double per_s_ = 0;
    double left_ = 0;
    std::int64_t filled_at_ = 0;

    auto take() -> bool;
  };

  auto serve(connection& caller) -> void;
  auto answer(const message& request) -> std::string;
  auto transact(const std::string& body) -> std::string;
  auto read(const query& asked) -> std::string;
  auto feed(const query& asked) -> std::string;
  auto parts(const query& asked) -> std::string;
  [[nodiscard]] auto shown(const row_name& name) const -> nlohmann::json;
  auto write(const row_name& name, const std::string& value) -> void;
  /// Waits for a transaction's turn in its part. False when over a second is waiting there.
  auto wait_for_part(const std::string& part) -> bool;

  std::mutex lock_;
  std::condition_variable changed_;
  std::map<row_name, row> rows_;
  std::vector<change> changes_;
  std::int64_t version_ = 0;
  rate writes_{800, 800};   // writes_per_s of the sheet.
  rate reads_{2000, 2000};  // reads_per_s of the sheet.
  std::map<std::string, std::int64_t> part_free_at_;
  listener listener_;
};

}  // namespace review
