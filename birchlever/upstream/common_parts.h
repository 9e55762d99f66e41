/// How much of a prompt any engine of a service probably holds, because many programs share its leading
/// parts.
///
/// A daemon knows of its own requests only. Of hundreds each sends a few a second, so of a part that every
/// third program shares it knows one or two engines that hold it, while all do; it then sent everything
/// there, queues or not. An engine keeps what was used last: it holds a part if one of the requests that read
/// its memory full carried it. That is a matter of how often the part comes for each token that is read, and
/// a daemon's own requests show that as well as all others' do.
///
/// In the fleet model's overload (three times the programs for four seconds) programs keep 0.975 of their
/// worth instead of 0.945, and the busiest engine gets 1.36 times the mean instead of 1.40.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/upstream/prompt_cache.h"

namespace birchlever {

/// Of one service. Not thread safe.
class common_parts {
 public:
  /// A request of a program was sent, of which an engine had to read so many tokens.
  auto note(const std::string& program, const std::vector<prompt_part>& parts, std::int64_t read_tokens,
            milliseconds now) -> void;

  /// Leading tokens of a prompt that any engine holds, as expected from its room in tokens.
  [[nodiscard]] auto expected_tokens(const std::vector<prompt_part>& parts, std::int64_t room,
                                     milliseconds now) const -> std::int64_t;

 private:
  /// A quantity a second that fades.
  struct fading_rate {
    double per_s_ = 0;
    milliseconds at_ = 0;

    [[nodiscard]] auto now(milliseconds moment) const -> double;
    auto add(double amount, milliseconds moment) -> void;
  };

  struct part_use {
    fading_rate programs_;  ///< Programs that carry it; turns of one count once in a row.
    std::string last_program_;
  };

  auto forget_rare(milliseconds now) -> void;

  std::unordered_map<std::uint64_t, part_use> uses_;
  fading_rate read_;
};

}  // namespace birchlever
