/// What this daemon believes of its peers, from their latest words. Words that are too old count no more.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/controllers/peer_state.h"

namespace birchlever {

/// A function of what was heard and of the time; no network.
class peer_views {
 public:
  /// `vm` is this daemon; words older than `fresh` ms count no more.
  peer_views(std::string vm, milliseconds fresh, std::shared_ptr<const clock_interface> clock)
      : vm_{std::move(vm)}, fresh_{fresh}, clock_{std::move(clock)} {}

  /// A peer said this now.
  auto record_state(peer_state said) -> void;

  /// When a peer was last heard, on our clock; none when never.
  [[nodiscard]] auto heard_at(const std::string& vm) const -> std::optional<milliseconds>;

  /// The peer is gone for good.
  auto forget(const std::string& vm) -> void { heard_.erase(vm); }

  /// The peer that the store answered last, if that was after the given moment of our clock; else none. Of
  /// one region only, when that is not empty: what is relayed may have to stay there.
  [[nodiscard]] auto find_peer_with_store_contact_since(milliseconds moment,
                                                        const std::string& region = {}) const
      -> const peer_state*;

  /// Requests that peers have running at each upstream, by their latest words.
  [[nodiscard]] auto running_elsewhere() const -> std::unordered_map<std::string, double>;

  /// True when this daemon has the highest rendezvous weight for a subject among itself and the peers heard
  /// of.
  [[nodiscard]] auto preferred_for(std::string_view subject) const -> bool;

  /// Control addresses of the peers heard of within so many ms, by VM.
  [[nodiscard]] auto addresses_within(milliseconds span) const -> std::map<std::string, std::string>;

  /// Peers that follow the table of upstreams themselves and said so within so many ms, to this daemon or to
  /// one that told of it.
  [[nodiscard]] auto followers_within(milliseconds span) const -> std::vector<told_follower>;

  /// The control address of the peer that last said it holds a range of allowances; it may hold it no more.
  [[nodiscard]] auto holder_of_allowance(int range) const -> std::optional<std::string>;

  /// Peers heard of within so many ms.
  [[nodiscard]] auto seen_within(milliseconds span) const -> std::size_t;

  /// Peers heard of lately.
  [[nodiscard]] auto recent_peers() const -> std::size_t;

 private:
  struct heard_state {
    peer_state state_;
    milliseconds at_ = 0;
  };

  std::string vm_;
  milliseconds fresh_;
  std::shared_ptr<const clock_interface> clock_;
  struct known_follower {
    told_follower told_;
    milliseconds at_ = 0;  ///< When it said so.
  };

  auto note_follower(const told_follower& told) -> void;

  std::map<std::string, heard_state> heard_;
  std::map<std::string, known_follower> followers_;  ///< By VM.
};

}  // namespace birchlever
