/// Stored records of a program: its budget, and the input and output of each turn.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"

namespace birchlever {

/// Tokens of a budget reserved for one turn.
struct reservation {
  std::int64_t tokens_ = 0;      ///< Token limit of the turn.
  milliseconds expires_at_ = 0;  ///< On the store's clock; 0 for a turn in progress, which holds it until it
                                 ///< ends. A turn that started under a lease must have ended by then.
  std::string witness_;          ///< Daemon that knows whether a lease is in use; empty if there is none.
  milliseconds ends_by_ = 0;     ///< On the store's clock; a turn in progress that has not ended by then was
                                 ///< lost with its daemon. 0 for leases, and in rows of earlier releases.
};

/// Tokens that one daemon drew from a budget in advance, for turns whose history is not stored. They count as
/// spent from the draw on, even if the daemon is lost.
struct drawn_tokens {
  std::int64_t tokens_ = 0;       ///< Total over all draws of the daemon.
  std::string last_draw_;         ///< Identifies the last draw (turn and sequence number).
  std::int64_t last_tokens_ = 0;  ///< Tokens of the last draw.
};

/// A program's budget: tokens spent by its turns and tokens reserved for turns in progress. A daemon may also
/// hold a leased reservation for a turn that has not arrived yet.
struct program_record {
  std::int64_t spent_ = 0;
  std::map<std::string, reservation> reserved_;  ///< By turn, or by name of a leased reservation.
  std::map<std::string, drawn_tokens> drawn_;    ///< By daemon; these tokens are included in spent_.
  milliseconds updated_at_ = 0;                  ///< On the store's clock.

  /// Returns the sum of spent and reserved tokens.
  [[nodiscard]] auto committed() const -> std::int64_t;

  /// Returns true if there are leased reservations, which a daemon may still use.
  [[nodiscard]] auto has_leased() const -> bool;

  /// Returns the reservations of started turns: in progress, or abandoned and not released yet.
  [[nodiscard]] auto started_turns() const -> std::vector<std::string>;
};

/// A turn whose response was delivered completely.
struct turn_record {
  std::string previous_;  ///< The turn it continues; empty at the start of a program.
  std::string input_;   ///< The caller's input, unmodified; preceded by the inherited history if the program
                        ///< continues another one.
  std::string output_;  ///< The data of each event, each followed by a line feed.
  std::string upstream_;  ///< The engine that ran the turn and may cache its prefix.
};

/// Serializes a program's budget row.
[[nodiscard]] auto encode(const program_record& record) -> std::string;

/// Parses a program's budget row. Failures: malformed_json.
[[nodiscard]] auto decode_program(std::string_view value) -> result<program_record>;

/// Serializes a turn. Values longer than a row are split into pieces by program_store.
[[nodiscard]] auto encode(const turn_record& record) -> std::string;

/// Parses a turn from its concatenated pieces. Failures: malformed_json.
[[nodiscard]] auto decode_turn(std::string_view value) -> result<turn_record>;

}  // namespace birchlever
