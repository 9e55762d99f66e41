/// Interface of a transactional table service and object store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// A stored row. The version increases with every write; the write id identifies the transaction that wrote
/// it.
struct table_row {
  std::string key_;
  std::string value_;
  std::int64_t version_ = 0;
  std::string write_id_;
};

/// Requires a row to have a version for a transaction to commit; 0 requires it to be absent.
struct table_condition {
  std::string key_;
  std::int64_t version_ = 0;
};

/// A value to store under a key.
struct table_put {
  std::string key_;
  std::string value_;
};

/// An atomic, conditional change of rows.
struct table_transaction {
  std::string write_id_;
  std::vector<table_condition> conditions_;
  std::vector<table_put> puts_;
  std::vector<std::string> deletes_;
};

/// Implemented by embedders. Calls fail with store_conflict (a condition did not hold), store_unavailable
/// (not applied) or store_unknown (the write may have been applied; read the row and compare its write id).
class table_store_interface {
 public:
  virtual ~table_store_interface() = default;

  /// Applies a transaction. Returns the version of every row that was put.
  virtual auto commit(const table_transaction& transaction) -> result<std::int64_t> = 0;

  /// Reads one row. Returns an empty optional if it does not exist.
  virtual auto read(const std::string& key) -> result<std::optional<table_row>> = 0;

  /// Reads up to `limit` rows whose keys have the prefix and sort after `after`, in key order.
  virtual auto scan(const std::string& prefix, const std::string& after, int limit)
      -> result<std::vector<table_row>> = 0;

  /// Stores an object, replacing any existing one.
  virtual auto put_object(const std::string& key, const std::string& bytes) -> status = 0;

  /// Reads an object. Returns an empty optional if it does not exist.
  virtual auto get_object(const std::string& key) -> result<std::optional<std::string>> = 0;

  /// Removes an object. Succeeds if it does not exist.
  virtual auto delete_object(const std::string& key) -> status = 0;
};

}  // namespace birchlever
