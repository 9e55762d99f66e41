/// In-memory table service and object store, for tests, examples and the stand_ins program.
#pragma once

#include <map>
#include <mutex>

#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// Stores rows and objects in maps. Thread safe. The only failure is store_conflict.
class memory_table_store final : public table_store_interface {
 public:
  auto commit(const table_transaction& transaction) -> result<std::int64_t> override;
  auto read(const std::string& key) -> result<std::optional<table_row>> override;
  auto scan(const std::string& prefix, const std::string& after, int limit)
      -> result<std::vector<table_row>> override;
  auto put_object(const std::string& key, const std::string& bytes) -> status override;
  auto get_object(const std::string& key) -> result<std::optional<std::string>> override;
  auto delete_object(const std::string& key) -> status override;

 private:
  [[nodiscard]] auto version_of(const std::string& key) const -> std::int64_t;

  std::mutex mutex_;
  std::map<std::string, table_row> rows_;
  std::map<std::string, std::string> objects_;
  std::int64_t last_version_ = 0;
};

}  // namespace birchlever
