/// Progress of a request in flight, as observed for the estimate of its upstream's speed.
#pragma once

#include <string>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Time between two arrivals of tokens.
struct token_gap {
  double duration_ = 0;  ///< ms since the previous arrival.
  double tokens_ = 0;    ///< Tokens that arrived together.
};

/// Times are those of the directory's clock, in ms.
struct request_progress {
  std::string route_;           ///< Route of a plain request.
  bool streams_ = false;        ///< The response is a stream of tokens.
  double uncached_tokens_ = 0;  ///< Prompt tokens that the engine is expected to read.
  bool queued_ = false;         ///< The upstream had no free slot, so the request may have waited there.
  bool resumed_ = false;        ///< Continues a stream; its first event says nothing about reading a prompt.
  bool started_ = false;        ///< The first event arrived.
  milliseconds sent_at_ = 0;
  milliseconds window_start_ = 0;  ///< Event at which the current window of tokens began.
  milliseconds last_tokens_at_ = 0;
  std::vector<token_gap> gaps_;       ///< In the window.
  milliseconds blocked_ = 0;          ///< Time in the window during which the caller did not accept data.
  milliseconds pending_checked_ = 0;  ///< Last observation made without a response.
};

}  // namespace birchlever
