/// What the store keeps of a program: one row with its budget, and each turn's input and answer.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"

namespace birchlever {

/// A part of a budget that is set aside.
struct reservation {
  std::int64_t tokens_ = 0;  ///< The most that its turn can generate.
  milliseconds expires_at_ =
      0;  ///< On the store's clock; 0 for a turn under way, which holds it until it ends.
};

/// What one daemon drew of a budget in advance, for turns of which nothing is kept. It counts as spent from
/// then on, whatever becomes of the daemon.
struct drawn_tokens {
  std::int64_t tokens_ = 0;       ///< All that it drew.
  std::string last_draw_;         ///< Names its last draw: the turn and a number.
  std::int64_t last_tokens_ = 0;  ///< Tokens of that draw.
};

/// A program's budget: what its turns have spent and what those under way may still spend, in tokens. A
/// daemon may also hold a leased reservation, for a turn that has not come yet.
struct program_record {
  std::int64_t spent_ = 0;
  std::map<std::string, reservation> reserved_;  ///< By turn, or by the name of a leased reservation.
  std::map<std::string, drawn_tokens> drawn_;    ///< By daemon; these tokens are within spent_.
  milliseconds touched_at_ = 0;                  ///< On the store's clock.

  /// Spent and reserved together.
  [[nodiscard]] auto committed() const -> std::int64_t;

  /// Takes back leased reservations whose lease is over.
  auto drop_expired(milliseconds store_now) -> void;

  /// True while some daemon may still use a leased reservation.
  [[nodiscard]] auto has_leased() const -> bool;

  /// Reservations of turns that were let begin: under way, or given up and not yet taken back.
  [[nodiscard]] auto begun_turns() const -> std::vector<std::string>;
};

/// A turn whose answer was delivered whole.
struct turn_record {
  std::string previous_;  ///< The turn it goes on from; empty at a program's start.
  std::string input_;     ///< What the caller sent, byte for byte; with all before it where a program goes
                          ///< on from another one.
  std::string output_;    ///< The data of each event, each followed by a line feed.
  std::string upstream_;  ///< The engine that ran it and holds its prefix.
};

/// The row value of a program's budget.
[[nodiscard]] auto encode(const program_record& record) -> std::string;

/// Reads a program's row. Failures: malformed_json.
[[nodiscard]] auto decode_program(std::string_view value) -> result<program_record>;

/// The row value of a turn; longer ones are cut into pieces by the store's limit.
[[nodiscard]] auto encode(const turn_record& record) -> std::string;

/// Reads a turn's row, its pieces put together. Failures: malformed_json.
[[nodiscard]] auto decode_turn(std::string_view value) -> result<turn_record>;

}  // namespace birchlever
