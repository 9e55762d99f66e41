/// The state that daemons report to each other, and its encoding.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/admission/pressure_report.h"
#include "birchlever/coordination/crash_history.h"
#include "birchlever/coordination/spent_programs.h"
#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

/// A follower of the table of upstreams, as reported by any daemon.
struct reported_follower {
  std::string vm_;
  std::string control_address_;
  double cores_ = 0;      ///< Its share of a processor core; 0 if unknown.
  milliseconds age_ = 0;  ///< ms since it reported itself.
};

/// The reported state of one daemon.
struct peer_state {
  std::string vm_;
  std::optional<milliseconds> store_response_age_;  ///< ms since the last store response, if any.
  std::int64_t configuration_ = 0;                  ///< Version of the configuration in force.
  std::string control_address_;                     ///< "ip:port" at which it relays store calls.
  std::map<std::string, int> running_;              ///< Requests in flight at each upstream.
  std::uint64_t allowance_ranges_ = 0;              ///< The allowance ranges it holds, as a bit mask.
  std::vector<upstream_health_report>
      health_reports_;    ///< Recent health reports of upstreams; a message with any has
                          ///< no other content. Empty in regular messages.
  bool follows_ = false;  ///< Polls the table of upstreams in the store and serves its changes to peers.
  std::string region_;    ///< Its region; empty if regions are not configured.
  double cores_ = 0;      ///< Its share of a processor core; 0 if unknown.
  std::vector<reported_follower> followers_;  ///< Other followers, forwarded to spread the same set.
  std::vector<spent_report> spent_;           ///< Programs whose budgets were spent a short time ago.
  std::optional<pressure_report> pressure_;   ///< Only of daemons that limit new programs in a shortage.
  /// ms since the process started; none if no earlier process of the daemon can have ended, and from earlier
  /// versions.
  std::optional<milliseconds> uptime_;
  std::optional<std::uint32_t> incarnation_;  ///< Of the process; none from earlier versions.
  std::vector<send_record> send_records_;     ///< Of the crash history; in messages with health reports only.
  std::vector<speed_report> speeds_;  ///< Speeds of upstreams that it observed recently, changed ones first.
};

/// Encodes a message as CBOR.
[[nodiscard]] auto encode(const peer_state& state) -> std::string;

/// Decodes a message. Failures: malformed_json.
[[nodiscard]] auto decode_peer_state(std::string_view bytes) -> result<peer_state>;

}  // namespace birchlever
