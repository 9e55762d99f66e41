/// Whether an upstream is to be avoided, judged by what requests met there: a health check may lie either
/// way.
///
/// Two failures in a row, here or as peers tell, make an upstream avoided for a while, twice as long with
/// each further failure after that while. Then a real request tries it. Failures that lie far apart do not
/// add up: an upstream that loses one answer in twenty is not left for that.
#pragma once

#include <set>

#include "birchlever/core/clock.h"

namespace birchlever {

/// How evidence is weighed. Times in ms.
struct upstream_health_settings {
  int failures_until_avoided_ = 2;         ///< One failure may be the request's own bad luck.
  milliseconds first_avoidance_ = 500;     ///< About two turns: most resets are over by then.
  milliseconds longest_avoidance_ = 8000;  ///< Upstreams that go down and up are down for a second or two.
  milliseconds forget_ =
      1500;  ///< Without a failure for so long, or twice the last avoidance, the count begins anew.
  milliseconds stall_ = 1500;  ///< Without any answer for so long while requests wait: it hangs. Callers
                               ///< leave a silent stream after 2 s.
};

/// For coroutines of one loop.
class upstream_health {
 public:
  /// `jitter`, 0 to 1, differs between daemons, so that they do not all try an upstream again at once.
  explicit upstream_health(const upstream_health_settings& settings = {}, double jitter = 0.5)
      : settings_{settings}, jitter_{jitter} {}

  /// A request failed there, here or at a peer. True when the upstream becomes avoided by that.
  auto note_failure(milliseconds now) -> bool;

  /// A request was served there. True when the upstream had been avoided before.
  auto note_success() -> bool;

  /// A request was sent there, and waits for its answer to begin.
  auto note_sent(milliseconds now) -> void { waiting_.insert(now); }

  /// The answer to a request sent at that moment began, or will not begin any more.
  auto note_answered(milliseconds sent_at, milliseconds now) -> void;
  auto note_given_up(milliseconds sent_at) -> void;

  /// True when requests wait and nothing was answered for too long; once for each such time.
  auto note_stall(milliseconds now) -> bool;

  [[nodiscard]] auto avoided(milliseconds now) const -> bool { return avoid_until_ > now; }
  [[nodiscard]] auto avoid_until() const -> milliseconds { return avoid_until_; }
  [[nodiscard]] auto failures() const -> int { return failures_; }

 private:
  auto avoid(milliseconds now) -> void;

  upstream_health_settings settings_;
  double jitter_;
  int failures_ = 0;  ///< In a row.
  milliseconds failed_at_ = 0;
  milliseconds avoidance_ = 0;  ///< The last one.
  milliseconds avoid_until_ = 0;
  milliseconds answered_at_ = 0;
  std::multiset<milliseconds> waiting_;
};

}  // namespace birchlever
