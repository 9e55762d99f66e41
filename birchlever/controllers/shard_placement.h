/// Helpers of a shard's owner that need no state of their own: where a call goes, where an answer is.
#pragma once

#include <string>

#include "birchlever/controllers/owner_messages.h"
#include "birchlever/core/daemon_settings.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {

struct daemon_context;

/// A placed call and why it was placed so.
struct placed_call {
  dispatch_ticket ticket_;
  placement_result choice_;
};

/// A choice as JSON: the best candidates with their terms, and which was taken.
[[nodiscard]] auto explain(const std::string& policy, const placement_result& choice) -> std::string;

/// Asks the program's policy for an upstream, and the shadow policies beside it.
[[nodiscard]] auto place_call(daemon_context& context, const open_request& request, const program& owner)
    -> result<placed_call>;

/// An answer's text, from memory or from its segment object.
[[nodiscard]] auto read_answer(daemon_context& context, const std::string& answer,
                               const answer_location& location) -> result<std::string>;

/// The ledger's limits from a daemon's settings.
[[nodiscard]] auto ledger_settings_of(const daemon_settings& settings) -> ledger_settings;

}  // namespace birchlever
