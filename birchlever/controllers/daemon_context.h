/// State shared by the components of one daemon.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "birchlever/core/clock.h"
#include "birchlever/core/daemon_settings.h"

namespace birchlever {

class fleet_view;
class http_connection_pool;
class metrics;
class policy_registry;
class policy_comparison;
class table_store_interface;
class trace_recorder;
class upstream_table;
class versioned_configuration;
class vm_list;

/// Created once at startup. Every member is thread safe and outlives all controllers and filters.
struct daemon_context {
  daemon_settings settings_;
  std::string daemon_id_;     ///< Id on the VM list.
  std::string instance_id_;   ///< Id of this process; changes with every restart.
  std::string peer_address_;  ///< "ip:port" for other daemons.
  std::shared_ptr<clock_interface> clock_;
  std::shared_ptr<table_store_interface> store_;
  std::shared_ptr<vm_list> vm_list_;
  std::shared_ptr<versioned_configuration> configuration_;
  std::shared_ptr<fleet_view> fleet_;
  std::shared_ptr<upstream_table> upstreams_;
  std::shared_ptr<policy_registry> policies_;
  std::shared_ptr<policy_comparison> comparison_;
  std::shared_ptr<metrics> metrics_;
  std::shared_ptr<trace_recorder> traces_;
  std::shared_ptr<http_connection_pool> upstream_pool_;  ///< For short requests.
  std::shared_ptr<http_connection_pool> stream_pool_;    ///< For calls, with long response timeouts.
  std::atomic<bool> stopping_{false};
  std::atomic<std::int64_t> calls_in_flight_{0};
};

}  // namespace birchlever
