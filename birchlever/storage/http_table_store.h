/// Client of the platform's table service and object store over HTTP.
#pragma once

#include <memory>

#include "birchlever/storage/http_connection_pool.h"
#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// Implements the platform's HTTP protocol. Thread safe.
class http_table_store final : public table_store_interface {
 public:
  /// Creates a client for the store at "ip:port". Failures: invalid_setting.
  static auto create(const std::string& address, const http_pool_settings& settings)
      -> result<std::shared_ptr<http_table_store>>;

  auto commit(const table_transaction& transaction) -> result<std::int64_t> override;
  auto read(const std::string& key) -> result<std::optional<table_row>> override;
  auto scan(const std::string& prefix, const std::string& after, int limit)
      -> result<std::vector<table_row>> override;
  auto put_object(const std::string& key, const std::string& bytes) -> status override;
  auto get_object(const std::string& key) -> result<std::optional<std::string>> override;
  auto delete_object(const std::string& key) -> status override;

 private:
  http_table_store(endpoint target, std::shared_ptr<http_connection_pool> pool);

  auto exchange(const std::string& method, const std::string& path, const std::string& body, bool writes)
      -> result<buffered_response>;

  endpoint target_;
  std::shared_ptr<http_connection_pool> pool_;
};

}  // namespace birchlever
