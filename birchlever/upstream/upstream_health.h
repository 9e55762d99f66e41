/// Whether an upstream is to be avoided, judged by what requests met there: a health check may lie either
/// way.
///
/// Evidence is failures in a row, here and at other daemons, weighed by who met them. One request that is
/// served, anywhere, ends the row. An upstream that loses one answer in twenty is not left for that, however
/// many daemons there are to tell of it; one that is dead is left by all as soon as a few have tried it.
/// Avoided means for a while, twice as long with each further failure after that while; then a real request
/// tries it.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/upstream/own_link.h"

namespace birchlever {

/// How evidence is weighed. Times in ms.
struct upstream_health_settings {
  int weight_until_avoided_ = 3;  ///< Two own failures in a row, an own one and a peer's, or three peers'.
                                  ///< With hundreds of daemons two failures meet by chance: at 8 requests/s
                                  ///< and one answer in twenty lost, each 8 s at every upstream.
  int own_weight_ = 2;            ///< Known at first hand.
  milliseconds first_avoidance_ = 500;     ///< About two turns: most resets are over by then.
  milliseconds longest_avoidance_ = 8000;  ///< Upstreams that go down and up are down for a second or two.
  milliseconds forget_ =
      1500;  ///< Without a failure for so long, or twice the last avoidance, the row begins anew.
  milliseconds stall_ = 1500;  ///< Without any answer for so long while requests wait: it hangs. Callers
                               ///< leave a silent stream after 2 s.
};

/// For coroutines of one loop.
class upstream_health {
 public:
  /// `jitter`, 0 to 1, differs between daemons, so that they do not all try an upstream again at once.
  explicit upstream_health(const upstream_health_settings& settings = {}, double jitter = 0.5)
      : settings_{settings}, jitter_{jitter} {}

  /// A request of this daemon failed there, while its own link was so; what the link is at fault for does not
  /// count. True when the upstream becomes avoided by that.
  auto note_failure(milliseconds now, link_verdict link = link_verdict::sound) -> bool;

  /// A peer's request failed there. A peer counts once in a row. True when the upstream becomes avoided by
  /// that.
  auto note_peer_failure(const std::string& peer, milliseconds now) -> bool;

  /// A request was served there, here or at a peer. True when the upstream had been avoided before.
  auto note_success() -> bool;

  /// The failures so far turned out to be those of this daemon's own link.
  auto forgive() -> void;

  /// True while one more failure could make it avoided: then peers are told that it serves.
  [[nodiscard]] auto suspected(milliseconds now) const -> bool;

  /// A request was sent there, and waits for its answer to begin.
  auto note_sent(milliseconds now) -> void { waiting_.insert(now); }

  /// The answer to a request sent at that moment began, or will not begin any more.
  auto note_answered(milliseconds sent_at, milliseconds now) -> void;
  auto note_given_up(milliseconds sent_at) -> void;

  /// True when requests wait that were sent at `link_sound_since` or later, and nothing was answered for too
  /// long; once for each such time.
  auto note_stall(milliseconds now, milliseconds link_sound_since = 0) -> bool;

  [[nodiscard]] auto avoided(milliseconds now) const -> bool { return avoid_until_ > now; }
  [[nodiscard]] auto avoid_until() const -> milliseconds { return avoid_until_; }

  /// Weight of the failures in a row.
  [[nodiscard]] auto weight() const -> int { return weight_; }

 private:
  auto add(int weight, milliseconds now) -> bool;
  auto begin_anew_when_quiet(milliseconds now) -> void;
  auto avoid(milliseconds now) -> void;

  upstream_health_settings settings_;
  double jitter_;
  int weight_ = 0;
  int avoidances_ = 0;              ///< In a row.
  std::vector<std::string> peers_;  ///< That failed in this row.
  milliseconds failed_at_ = 0;
  milliseconds avoidance_ = 0;  ///< The last one.
  milliseconds avoid_until_ = 0;
  milliseconds answered_at_ = 0;
  std::multiset<milliseconds> waiting_;
};

}  // namespace birchlever
