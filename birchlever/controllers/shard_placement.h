/// Stateless helpers of a shard's owner for placing calls and reading answers.
#pragma once

#include <string>

#include "birchlever/controllers/owner_messages.h"
#include "birchlever/core/daemon_settings.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {

struct daemon_context;

/// A placed call and the details of its placement.
struct placed_call {
  dispatch_ticket ticket_;
  placement_result choice_;
};

/// Returns a placement as JSON: the best candidates with their cost terms, and the chosen upstream.
[[nodiscard]] auto explain(const std::string& policy, const placement_result& choice) -> std::string;

/// Chooses an upstream with the program's policy, and evaluates the shadow policies for comparison.
[[nodiscard]] auto place_call(daemon_context& context, const open_request& request, const program& owner)
    -> result<placed_call>;

/// Returns an answer's text, from memory or from its segment object.
[[nodiscard]] auto read_answer(daemon_context& context, const std::string& answer,
                               const answer_location& location) -> result<std::string>;

/// Returns the ledger's limits from a daemon's settings.
[[nodiscard]] auto ledger_settings_of(const daemon_settings& settings) -> ledger_settings;

}  // namespace birchlever
