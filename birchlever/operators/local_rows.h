/// The rows one daemon can give about itself.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace birchlever {

struct daemon_context;
class shard_set;

/// Rows of a subject as this daemon knows them. `comparison` gives the policy records with their samples.
[[nodiscard]] auto rows_of(daemon_context& context, shard_set& shards, const std::string& subject)
    -> nlohmann::json;

}  // namespace birchlever
