/// Waiting at a start for what other processes have not released or written yet.
#pragma once

#include "birchlever/core/clock.h"
#include "birchlever/core/error.h"

namespace birchlever {

/// What follows a failed attempt to start.
enum class start_step {
  retry,    ///< The condition may have passed; attempt again.
  stopped,  ///< The process was asked to stop meanwhile.
  failed,   ///< The condition never passes, or did not within the limit.
};

/// Paces the attempts of one start. Logs what it waits for.
class start_wait {
 public:
  /// Ports and addresses are freed within seconds. A process that ends instead is started again by the
  /// platform, which costs the rest of the fleet more than waiting.
  static constexpr auto standard_limit = milliseconds{30000};

  /// Attempts go on for `limit` ms.
  explicit start_wait(milliseconds limit = standard_limit);

  /// Decides what to do after an attempt failed. Waits before it yields `retry`. SIGTERM and SIGINT have to
  /// be held back.
  auto after(const error& reason) -> start_step;

  /// Logs how long the start has waited, if it has.
  auto report_success() const -> void;

 private:
  steady_clock clock_;
  milliseconds limit_;
  milliseconds began_at_;
  milliseconds next_report_at_;
  bool waited_ = false;
};

}  // namespace birchlever
