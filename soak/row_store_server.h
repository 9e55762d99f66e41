/// A stand-in of the platform's store as a server: the published calls over rows in memory.
#pragma once

#include <memory>
#include <string>

#include "birchlever/http/http_listener.h"
#include "birchlever/storage/memory_row_store.h"

namespace birchlever::soak {

/// For the soak's one loop.
class row_store_server {
 public:
  /// Serves the rows at an address. Failures: invalid_setting.
  static auto create(event_loop& loop, const std::string& address, std::shared_ptr<memory_row_store> rows)
      -> result<std::unique_ptr<row_store_server>>;

 private:
  row_store_server(event_loop& loop, std::shared_ptr<memory_row_store> rows)
      : loop_{&loop}, rows_{std::move(rows)} {}

  auto answer(const http_request& request) -> task<http_response>;
  auto transact(std::string body) -> task<http_response>;
  auto read(std::string query) -> task<http_response>;
  auto look(std::string query) -> task<http_response>;

  event_loop* loop_;
  std::shared_ptr<memory_row_store> rows_;
  std::shared_ptr<http_listener> listener_;
};

}  // namespace birchlever::soak
