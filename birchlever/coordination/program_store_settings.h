/// Settings of the program store.
#pragma once

#include <cstddef>
#include <string>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Times in ms.
struct program_store_settings {
  std::string daemon_ = "daemon";  ///< Identifies this incarnation in the rows of budgets that it draws.
  double draw_ahead_ = 0.5;  ///< Share of the remaining budget, less the token limit of one turn, that is
                             ///< drawn ahead. Drawn tokens save store calls and are lost with their daemon.
  double min_draw_share_ = 0.25;  ///< Share of a turn's token limit with which it may start in a store
                                  ///< outage. Most responses use less than a third of their limit.
  std::string table_ = "programs";
  std::string index_table_ = "turn_programs";
  int parts_ = 32;  ///< Number of partitions; must be equal on all daemons and must never change. The store
                    ///< takes 150 writes/s per partition; 1,200 are needed at most.
  std::size_t row_bytes_ =
      48000;  ///< Maximum piece of a turn in one row; the store accepts 64 KiB of base64.
  std::size_t cache_bytes_ = 4'000'000;  ///< Size of the cache of histories.
  milliseconds call_limit_ = 2500;       ///< Timeout of one store call, including retries.
  milliseconds max_start_wait_ = 400;  ///< Maximum wait of a starting turn while the store does not respond.
  milliseconds start_timeout_ =
      1800;  ///< Timeout for starting a turn; callers close a stream without events after 2 s.
  milliseconds retry_after_ =
      3000;  ///< Retry delay sent to callers whose turn was refused because of the store.
             ///< Outages last seconds, and callers make a limited number of attempts.
  milliseconds reservation_lease_ = 3000;  ///< Time for which a daemon may use a reservation that it holds
                                           ///< for the next turn; covers pauses and tool calls between
                                           ///< turns, which take up to 2 s.
  milliseconds lease_max_age_ = 100;  ///< Maximum age of a record used to find the holder of a reservation.
  milliseconds lease_margin_ = 50;    ///< Minimum remaining lease of a reservation that is transferred.
  milliseconds max_turn_duration_ =
      8000;  ///< Minimum time after a lease until its reservation counts as spent unless it is known to be
             ///< unused; longer if turns may take longer. A turn that started under it must have ended by
             ///< then.
  bool witnessed_leases_ = false;  ///< Leases only with a witness among the peers, so that an unused lease of
                                   ///< a lost daemon is released. Without one it counts as spent.
  milliseconds settle_grace_ = 2000;  ///< Time after a turn's deadline by which its end is stored, unless its
                                      ///< daemon is lost; its reservation counts as spent from then on.
  milliseconds lease_memory_ = 60000;  ///< Time after its expiry for which the use of a lease is remembered.
  milliseconds inquiry_max_age_ = 1000;  ///< Daemons are asked about a lease again after this time.
  milliseconds budget_max_age_ =
      400;  ///< Maximum age of a record that a refusal may be based on. Must be less than half of the second
            ///< after which the platform accounts for the tokens that a turn spent.
  milliseconds cleanup_timeout_ =
      60000;                   ///< Time for which settling a turn or releasing a reservation is retried.
  bool spent_memory_ = false;  ///< Refuses turns of spent programs from memory, and lets concurrent turns of
                               ///< one program share what is left of its budget.
  milliseconds initial_turn_duration_ = 500;  ///< Assumed duration of a turn until one has ended here; a
                                              ///< quarter of the 2 s for which callers wait for events.
};

}  // namespace birchlever
