/// The latest states received from peers.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/controllers/peer_state.h"

namespace birchlever {

/// Rows about speeds of one peer.
struct peer_speeds {
  std::string vm_;
  std::vector<speed_report> reports_;
};

/// Has no I/O; depends only on the received states and the clock.
class peer_views {
 public:
  /// `vm` is this daemon's VM; states older than `max_age` ms are ignored.
  peer_views(std::string vm, milliseconds max_age, std::shared_ptr<const clock_interface> clock)
      : vm_{std::move(vm)}, max_age_{max_age}, clock_{std::move(clock)} {}

  /// Records a state received now.
  auto record_state(peer_state state) -> void;

  /// Returns true if a state is the first one of a peer's process.
  [[nodiscard]] auto is_new_process(const peer_state& state) const -> bool;

  /// Returns when a peer was last seen, on the local clock; none if never.
  [[nodiscard]] auto last_seen(const std::string& vm) const -> std::optional<milliseconds>;

  /// Forgets a peer that was removed from the fleet.
  auto forget(const std::string& vm) -> void { states_.erase(vm); }

  /// Returns the peer with the latest store response, if that was received after the given time of the local
  /// clock; else null. Only peers of the given region are considered, unless it is empty.
  [[nodiscard]] auto find_peer_with_store_contact_since(milliseconds time,
                                                        const std::string& region = {}) const
      -> const peer_state*;

  /// Returns the requests that peers have in flight at each upstream.
  [[nodiscard]] auto running_elsewhere() const -> std::unordered_map<std::string, double>;

  /// Returns the rows about speeds that peers added or changed in the states received since the previous
  /// call. A row that a peer repeats is returned once.
  [[nodiscard]] auto take_speeds() -> std::vector<peer_speeds>;

  /// Returns true if this daemon has the highest rendezvous weight for a key among itself and the current
  /// peers.
  [[nodiscard]] auto preferred_for(std::string_view key) const -> bool;

  /// Returns the control addresses of the peers seen within `window` ms, by VM.
  [[nodiscard]] auto addresses_within(milliseconds window) const -> std::map<std::string, std::string>;

  /// Returns the state of the peer at an index, in order and repeated, among the peers of a region that were
  /// seen within `window` ms and name their incarnation; null if there is none. An empty region includes all.
  [[nodiscard]] auto find_process(std::size_t index, milliseconds window, const std::string& region) const
      -> const peer_state*;

  /// Returns the followers that reported themselves within `window` ms, directly or through another peer.
  [[nodiscard]] auto followers_within(milliseconds window) const -> std::vector<reported_follower>;

  /// Returns the control address of the peer that most recently reported holding an allowance range. It may
  /// no longer hold it.
  [[nodiscard]] auto holder_of_allowance(int range) const -> std::optional<std::string>;

  /// Returns the spent programs that peers reported since the last call, each once.
  auto take_spent_reports() -> std::vector<spent_report>;

  /// Returns the current reports about shortages, without those of peers that send none.
  [[nodiscard]] auto pressure_reports() const -> std::vector<aged_pressure_report>;

  /// Returns the number of peers seen within `window` ms.
  [[nodiscard]] auto seen_within(milliseconds window) const -> std::size_t;

  /// Returns the number of peers that may have ended within `window` ms: they have started since, or their
  /// messages stopped for longer than `silence` ms.
  [[nodiscard]] auto possibly_lost_peers(milliseconds window, milliseconds silence) const -> std::size_t;

  /// Returns the number of peers whose state is current.
  [[nodiscard]] auto recent_peers() const -> std::size_t;

 private:
  struct received_state {
    peer_state state_;
    milliseconds received_at_ = 0;
  };

  std::string vm_;
  milliseconds max_age_;
  std::shared_ptr<const clock_interface> clock_;
  struct known_follower {
    reported_follower reported_;
    milliseconds reported_at_ = 0;  ///< When it reported itself, on the local clock.
  };

  auto record_speeds(const peer_state& state) -> void;
  auto record_follower(const reported_follower& follower) -> void;

  std::map<std::string, received_state> states_;
  std::map<std::string, known_follower> followers_;  ///< By VM.
  std::map<std::uint64_t, std::int64_t> spent_;      ///< Reported spent tokens by hash of the program.
  std::vector<peer_speeds> new_speeds_;              ///< Not yet taken.
};

}  // namespace birchlever
