/// Memory of which upstreams ended while they ran a piece of work, over all its attempts and all daemons.
///
/// A request that makes its upstream end does so again on the next one. Attempts have ids of their own and
/// reach any daemon, so their sends are recorded by a fingerprint of the work. A send counts once its
/// upstream ended, and while it is open: its outcome may be unknown because the daemon that made it ended
/// too. Records of daemons are merged as a set, so their order does not matter.
///
/// Requests of the same content are counted together as well, since attempts outside programs share nothing
/// else. But many callers may ask for the same at once, and lose their upstreams together when a whole
/// service fails. So what counts for a content is the number of its sends that were made one after the
/// other, each after the one before counted.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Fingerprints that begin with this are shared by all requests of the same content, whoever sends them.
inline constexpr auto content_prefix = std::string_view{"content-"};

[[nodiscard]] inline auto is_content(std::string_view fingerprint) -> bool {
  return fingerprint.substr(0, content_prefix.size()) == content_prefix;
}

/// What is known about a send of suspected work.
enum class send_state {
  open,     ///< Sent, or about to be; no outcome known.
  crashed,  ///< The upstream ended while it ran the work.
  settled,  ///< It did not end. Not kept.
  served    ///< The work, or content, was served. Not kept.
};

/// Returns the name of a state in rows, messages and logs.
[[nodiscard]] auto name_of(send_state state) -> std::string_view;

/// A send of a piece of work to one incarnation of an upstream.
struct send_record {
  std::string fingerprint_;
  std::string upstream_;  ///< Incarnation.
  send_state state_ = send_state::open;
  int round_ = 1;         ///< Of content: one more than that of any send that counted when this one was made.
  milliseconds age_ = 0;  ///< ms since it counts.
};

/// Settings of crash_history.
struct crash_history_settings {
  /// Upstreams that may end under a piece of work. Work that ran beside a harmful request, or on upstreams
  /// that ended for other reasons, may see more than one.
  int max_crashes_ = 3;
  std::size_t max_works_ = 4096;  ///< Work with one send is evicted first, the least recently changed of it.
  milliseconds max_age_ = 600'000;  ///< Work without change for this long is forgotten.
  /// Content without change for this long is forgotten: many callers may need it.
  milliseconds max_content_age_ = 60'000;
  /// Crashes of work that was served since are forgotten after this long. They count until then: an equal
  /// request of the same program may have been served in its place.
  milliseconds max_served_age_ = 60'000;
  milliseconds max_open_ = 60'000;  ///< Open sends without change for this long are forgotten; longer than a
                                    ///< request may take.
};

/// Has no I/O; the clock is passed in. Not thread safe.
class crash_history {
 public:
  explicit crash_history(const crash_history_settings& settings = {}) : settings_{settings} {}

  /// Merges a record. A crash is final: a later `open` of the same send does not replace it. Returns true if
  /// this changed what is known.
  auto record(const send_record& record, milliseconds now) -> bool;

  /// Removes a record that is no longer stored. Does nothing if the send is known in another state. Returns
  /// true if it was removed.
  auto erase(const send_record& record) -> bool;

  /// Ends the open sends of a piece of work that was served, and keeps its crashes for less long. Returns
  /// what was removed.
  auto mark_served(const std::string& fingerprint, milliseconds now) -> std::vector<send_record>;

  /// Removes all records of content that was served. Returns them.
  auto clear(const std::string& fingerprint, milliseconds now) -> std::vector<send_record>;

  /// Returns the number of upstreams that ended, or may end, under a piece of work; of content, the number of
  /// rounds of these sends.
  [[nodiscard]] auto crashes(const std::string& fingerprint) const -> int;

  /// Returns the number of upstreams that ended under a piece of work for certain; of content, the number of
  /// rounds in which some ended.
  [[nodiscard]] auto confirmed_crashes(const std::string& fingerprint) const -> int;

  /// Returns the round of a send of a content that was made at `sent_at`, on the local clock: news of sends
  /// that counted before may have arrived later.
  [[nodiscard]] auto round_of_send(const std::string& content, milliseconds sent_at) const -> int;

  /// Returns true if a send to an incarnation counts.
  [[nodiscard]] auto counts(const std::string& fingerprint, const std::string& upstream) const -> bool;

  /// Returns true if content was served at or after `time`, as far as its records were cleared by that.
  [[nodiscard]] auto served_since(const std::string& content, milliseconds time) const -> bool;

  /// Returns how long records like this one are kept without change.
  [[nodiscard]] auto lifetime_of(const send_record& record) const -> milliseconds;

  /// Returns the crashes of a piece of work.
  [[nodiscard]] auto crash_records(const std::string& fingerprint) const -> std::vector<send_record>;

  /// Returns the incarnations with an open send of other work that at least `min_crashes` upstreams ended
  /// under or may end under, the send itself included.
  [[nodiscard]] auto upstreams_at_risk(const std::string& fingerprint, int min_crashes) const
      -> std::set<std::string>;

  /// Removes and returns what is older than the settings allow.
  auto expire(milliseconds now) -> std::vector<send_record>;

  /// Returns the records that have been known for at least `min_age` ms.
  [[nodiscard]] auto records_known_for(milliseconds min_age, milliseconds now) const
      -> std::vector<send_record>;

  [[nodiscard]] auto settings() const -> const crash_history_settings& { return settings_; }

  /// Returns true if sends were forgotten for lack of room within `window` ms.
  [[nodiscard]] auto evicted_within(milliseconds window, milliseconds now) const -> bool {
    return evicted_at_ && now - *evicted_at_ < window;
  }

  /// Returns the number of works in memory.
  [[nodiscard]] auto size() const -> std::size_t { return works_.size(); }

 private:
  struct known_send {
    send_state state_ = send_state::open;
    int round_ = 1;
    milliseconds changed_at_ = 0;
    milliseconds counts_since_ = 0;
  };

  struct known_work {
    std::map<std::string, known_send> sends_;  ///< By incarnation.
    milliseconds changed_at_ = 0;
    std::optional<milliseconds> served_at_;  ///< Since the last crash.
    std::size_t rank_ = 0;                   ///< 0 with one send, 1 with more.
    std::list<std::string>::iterator order_;
  };

  auto work_of(const std::string& fingerprint, milliseconds now) -> known_work&;
  auto evict_one(milliseconds now) -> void;
  /// Makes a piece of work the most recently changed one of its rank.
  auto update_order(known_work& work) -> void;
  /// Returns true if a record is older than the settings allow.
  [[nodiscard]] auto expired(const send_record& record, const known_send& send, const known_work& work,
                             milliseconds now) const -> bool;
  auto forget(const std::string& fingerprint) -> void;

  crash_history_settings settings_;
  std::unordered_map<std::string, known_work> works_;  ///< By fingerprint.
  std::array<std::list<std::string>, 2> order_;  ///< Fingerprints by rank, least recently changed first.
  std::optional<milliseconds> evicted_at_;       ///< When sends were last forgotten for lack of room.
  std::unordered_map<std::string, milliseconds> served_content_;  ///< When content was cleared.
  std::set<std::pair<std::string, std::string>> open_;  ///< Incarnation and fingerprint of the open sends.
};

}  // namespace birchlever
