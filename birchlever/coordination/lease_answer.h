/// A daemon's answer about the use of a leased reservation.
#pragma once

#include <string>
#include <string_view>

namespace birchlever {

/// What is known about a lease after an inquiry.
enum class lease_state {
  unresolved,   ///< No daemon that knows has answered.
  unused,       ///< No daemon uses it, now or later.
  in_use,       ///< A turn runs under it, or ran and its end is not stored.
  transferred,  ///< The asked daemon transferred it to another one.
  lost,         ///< The daemons that knew are gone: later incarnations respond in their place.
};

/// Returns the name of a state in messages and logs.
[[nodiscard]] auto name_of(lease_state state) -> std::string_view;

/// The answer of one daemon.
struct lease_answer {
  lease_state state_ = lease_state::unresolved;
  std::string recipient_;  ///< The daemon that it was transferred to.
};

/// Serializes an answer: the name of the state, then the recipient, if any, on a line of its own.
[[nodiscard]] auto encode(const lease_answer& answer) -> std::string;

/// Parses an answer. A malformed one is unresolved.
[[nodiscard]] auto decode_lease_answer(std::string_view text) -> lease_answer;

}  // namespace birchlever
