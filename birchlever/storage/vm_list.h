/// The platform's lagging list of live and leaving VMs: daemons and upstreams.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "birchlever/storage/http_connection_pool.h"

namespace birchlever {

/// What a listed VM runs.
enum class vm_kind { daemon, engine, service };

/// One entry of the list.
struct vm_entry {
  std::string id_;
  vm_kind kind_ = vm_kind::engine;
  endpoint address_;  ///< Peer address of a daemon, HTTP address of an upstream.
  std::string data_hall_;
  bool leaving_ = false;
  bool checks_fence_ = true;  ///< The upstream refuses orders that carry an old fencing number.
  std::string service_;       ///< Name of the plain service, for services.
  std::vector<std::string> models_;
  std::string role_;  ///< Engine role: "both", "prefill", "decode" or "spare".
};

/// The stable name of a kind.
[[nodiscard]] auto name_of(vm_kind kind) -> std::string_view;

/// Reads the list from the platform.
class vm_list {
 public:
  /// A list at the given address. Failures: invalid_setting.
  static auto create(const std::string& address, const http_pool_settings& settings)
      -> result<std::shared_ptr<vm_list>>;

  /// The newest list the platform gives. Failures: store_unavailable.
  auto fetch() -> result<std::vector<vm_entry>>;

 private:
  vm_list(endpoint target, std::shared_ptr<http_connection_pool> pool);

  endpoint target_;
  std::shared_ptr<http_connection_pool> pool_;
};

}  // namespace birchlever
