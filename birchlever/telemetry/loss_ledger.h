/// Where requests were lost or held up, out of the log lines of any number of gateways.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace birchlever {

/// What went wrong in one way on one route.
struct loss_record {
  std::int64_t count_ = 0;
  double held_ms_ = 0;  ///< Sum over the requests.
  std::map<std::int64_t, std::int64_t> by_second_;
  std::vector<std::string> first_requests_;  ///< Ids to begin reading the logs with.
};

/// What a route's upstreams were asked for.
struct offer_record {
  std::int64_t offers_ = 0;
  std::int64_t relayed_ = 0;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t missing_tokens_ = 0;  ///< Believed not to be held by the upstream that was chosen.
  std::vector<double> waited_ms_;    ///< Before the request was offered.
  std::vector<double> took_ms_;      ///< From the offer to its end.
};

/// Not thread safe.
class loss_ledger {
 public:
  /// Takes in a line. Text before its JSON object is passed over. False when there is none that can be read.
  auto take(std::string_view line) -> bool;

  /// Lines that were no log lines.
  [[nodiscard]] auto unreadable() const -> std::int64_t { return unreadable_; }

  /// Tables: losses by cause and route, most frequent first; offers by route; the worst seconds.
  [[nodiscard]] auto to_text() const -> std::string;

 private:
  std::map<std::string, loss_record> losses_;  ///< By route and cause.
  std::map<std::string, offer_record> offers_;
  std::map<std::int64_t, std::int64_t> by_second_;
  std::int64_t unreadable_ = 0;
};

}  // namespace birchlever
