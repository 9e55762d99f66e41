/// Small helpers that the parts of shard_controller share.
#pragma once

#include <memory>
#include <string>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

/// When a caller may ask again while its owner or its turn is changing, in ms.
inline constexpr auto owner_retry_ms = std::int64_t{300};

/// A program's name across accounts, also its session's name at the engines.
[[nodiscard]] inline auto program_key(const std::string& account, const std::string& program) -> std::string {
  return account + "/" + program;
}

/// An owner's word as the actors pass it on.
[[nodiscard]] inline auto make_open_reply(open_reply reply) -> shared<open_reply> {
  return std::make_shared<open_reply>(std::move(reply));
}

}  // namespace birchlever
