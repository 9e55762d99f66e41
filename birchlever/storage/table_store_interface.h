/// The platform's transactional table service and object store, as the library needs them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "birchlever/core/result.h"

namespace birchlever {

/// A row as stored. The version rises with every write; the write id names the write that made it.
struct table_row {
  std::string key_;
  std::string value_;
  std::int64_t version_ = 0;
  std::string write_id_;
};

/// A row that must have the given version for a transaction to commit; version 0 means absent.
struct table_condition {
  std::string key_;
  std::int64_t version_ = 0;
};

/// A value to store under a key.
struct table_put {
  std::string key_;
  std::string value_;
};

/// All conditions are checked and all changes made together, or nothing is.
struct table_transaction {
  std::string write_id_;
  std::vector<table_condition> conditions_;
  std::vector<table_put> puts_;
  std::vector<std::string> deletes_;
};

/// What embedders supply: a table service with transactions, and an object store.
/// Failures: store_conflict (a condition did not hold), store_unavailable (surely not applied),
/// store_unknown (the write may have taken effect; read back by write id).
class table_store_interface {
 public:
  virtual ~table_store_interface() = default;

  /// Applies a transaction. The value is the version given to every row it put.
  virtual auto commit(const table_transaction& transaction) -> result<std::int64_t> = 0;

  /// Reads one row; an empty optional when it does not exist.
  virtual auto read(const std::string& key) -> result<std::optional<table_row>> = 0;

  /// Reads up to limit rows with the prefix, in key order, after the given key.
  virtual auto scan(const std::string& prefix, const std::string& after, int limit)
      -> result<std::vector<table_row>> = 0;

  /// Stores an object whole, replacing any of that name.
  virtual auto put_object(const std::string& key, const std::string& bytes) -> status = 0;

  /// Reads an object; an empty optional when it does not exist.
  virtual auto get_object(const std::string& key) -> result<std::optional<std::string>> = 0;

  /// Removes an object; removing what is not there succeeds.
  virtual auto delete_object(const std::string& key) -> status = 0;
};

}  // namespace birchlever
