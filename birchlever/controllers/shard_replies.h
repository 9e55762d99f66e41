/// Helpers shared by the parts of shard_controller.
#pragma once

#include <memory>
#include <string>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {

/// Retry hint for callers while a shard's owner changes or a call's turn is pending, in ms.
inline constexpr auto owner_retry_ms = std::int64_t{300};

/// Returns a program's key across accounts; engines use it as session name.
[[nodiscard]] inline auto program_key(const std::string& account, const std::string& program) -> std::string {
  return account + "/" + program;
}

/// Wraps an owner's reply for actor messages.
[[nodiscard]] inline auto make_open_reply(open_reply reply) -> shared<open_reply> {
  return std::make_shared<open_reply>(std::move(reply));
}

}  // namespace birchlever
