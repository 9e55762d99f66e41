/// What one run of the soak is made of.
#pragma once

#include <cstdint>
#include <string>

#include "birchlever/core/clock.h"

namespace birchlever::soak {

/// Which kinds of faults a run draws from.
enum class fault_set {
  usual,   ///< All kinds but silent connections, and no change of configuration beside them.
  silent,  ///< Open connections to the store and to upstreams go silent again and again; configurations
           ///< change.
  usual_changes,  ///< All kinds; configurations change meanwhile.
};

/// How an upstream ends under a harmful request.
enum class harmful_form {
  closes,  ///< Its port and its connections close.
  held,    ///< Its connections close; the port accepts, and closes what it accepts.
  reused,  ///< Its connections close; another process answers at the port.
  silent,  ///< Nothing closes, nothing answers.
  late     ///< As `closes`, long after the request arrived, whether its caller waits or not.
};

constexpr auto harmful_forms = 5;

/// Sizes and times of a run. Times in ms.
struct soak_settings {
  static constexpr auto memory_mb = std::size_t{120};  ///< That a gateway may use, as on small machines.

  std::string binary_ = "out/release/birchlever";  ///< The program under test.
  std::string folder_ = "/tmp";                    ///< For settings files and logs of the gateways.
  std::uint64_t seed_ = 1;                         ///< Decides faults, their times, and what callers do.
  fault_set faults_ = fault_set::usual;
  bool accounts_ = true;         ///< Whether the configuration has client accounts.
  bool process_faults_ = false;  ///< Signals, settings, ports and memory are harmed beside the other faults.
  int gateways_ = 4;
  int engines_ = 4;
  int services_ = 3;
  bool harmful_ = false;           ///< Some requests end the upstreams that run them.
  bool harmful_forms_ = false;     ///< They do so in all forms, several at once, from impatient callers.
  bool large_inputs_ = false;      ///< Some turns have inputs of up to the limit of the configuration.
  bool early_responses_ = false;   ///< Upstreams respond to some requests, which are long, before they have
                                   ///< read them, and reset some of these responses.
  int callers_ = 12;               ///< Programs under way at once.
  milliseconds duration_ = 12000;  ///< Of faults and load; healing and the last checks come after it.
  milliseconds heal_ = 4000;       ///< From the last fault's end until the last checks begin.
  milliseconds drain_ = 2000;   ///< After which a leaving upstream must get nothing (the platform's bound).
  milliseconds revoke_ = 2500;  ///< After which nothing sent with a key that was taken away may run.
  milliseconds configuration_ = 2000;  ///< After which a change is in force (the platform's bound).
  milliseconds calm_ = 3000;           ///< Without a fault for so long, the bounds in time hold.
};

}  // namespace birchlever::soak
