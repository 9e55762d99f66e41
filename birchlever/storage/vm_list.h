/// The platform's eventually consistent list of VMs that run daemons and upstreams.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "birchlever/storage/http_connection_pool.h"

namespace birchlever {

/// What a listed VM runs.
enum class vm_kind { daemon, engine, service };

/// A listed VM.
struct vm_entry {
  std::string id_;
  vm_kind kind_ = vm_kind::engine;
  endpoint address_;  ///< Peer address of a daemon, HTTP address of an upstream.
  std::string data_hall_;
  bool leaving_ = false;
  bool checks_fence_ = true;  ///< The upstream rejects requests with an outdated fencing token.
  std::string service_;       ///< Service name; only for kind `service`.
  std::vector<std::string> models_;
  std::string role_;  ///< Engine role: "both", "prefill", "decode" or "spare".
};

/// Returns the name of a kind as used in JSON.
[[nodiscard]] auto name_of(vm_kind kind) -> std::string_view;

/// Client of the platform's VM list.
class vm_list {
 public:
  /// Creates a client for the list at "ip:port". Failures: invalid_setting.
  static auto create(const std::string& address, const http_pool_settings& settings)
      -> result<std::shared_ptr<vm_list>>;

  /// Fetches the current list. Failures: store_unavailable, malformed_json.
  auto fetch() -> result<std::vector<vm_entry>>;

 private:
  vm_list(endpoint target, std::shared_ptr<http_connection_pool> pool);

  endpoint target_;
  std::shared_ptr<http_connection_pool> pool_;
};

}  // namespace birchlever
