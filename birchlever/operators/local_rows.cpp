#include "birchlever/operators/local_rows.h"

#include <sys/resource.h>

#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/shard_set.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/storage/table_store_interface.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/telemetry/policy_comparison.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto most_generations = 300;
constexpr auto ms_per_second = 1000.0;
constexpr auto us_per_ms = 1000.0;

auto cpu_ms(const rusage& used) -> double {
  auto seconds = static_cast<double>(used.ru_utime.tv_sec + used.ru_stime.tv_sec);
  auto microseconds = static_cast<double>(used.ru_utime.tv_usec + used.ru_stime.tv_usec);
  return seconds * ms_per_second + microseconds / us_per_ms;
}

auto daemon_row(daemon_context& context, shard_set& shards) -> json {
  auto used = rusage{};
  getrusage(RUSAGE_SELF, &used);
  auto held = json::parse(shards.rows("shards"), nullptr, false);
  return {{"daemon", context.daemon_id_},
          {"data_hall", context.settings_.data_hall_},
          {"peer", context.peer_address_},
          {"generation", context.configuration_->generation()},
          {"fresh", context.configuration_->is_up_to_date()},
          {"stopping", context.stopping_.load()},
          {"shards", held.size()},
          {"calls_under_way", context.calls_in_flight_.load()},
          {"peak_memory_kb", used.ru_maxrss},
          {"cpu_ms", cpu_ms(used)},
          {"journal_commits", context.metrics_->counter("journal_commits_total")},
          {"takeovers", context.metrics_->counter("takeovers_total")}};
}

auto engine_rows(daemon_context& context) -> json {
  auto rows = json::array();
  for (const auto& engine : context.upstreams_->engines(context.clock_->now())) {
    rows.push_back({{"engine", engine.id_},
                    {"data_hall", engine.data_hall_},
                    {"usable", engine.usable_},
                    {"role", engine.role_},
                    {"running", engine.running_},
                    {"queued", engine.queued_},
                    {"capacity", engine.capacity_},
                    {"cache_tokens", engine.cache_tokens_},
                    {"cache_capacity", engine.cache_capacity_},
                    {"models", engine.models_},
                    {"age_ms", engine.report_age_ms_}});
  }
  return rows;
}

auto policy_rows(daemon_context& context) -> json {
  auto rows = json::array();
  for (const auto& [name, policy] : context.fleet_->configuration()->policies_) {
    rows.push_back({{"policy", name},
                    {"kind", name_of(policy.settings_.kind_)},
                    {"state", name_of(policy.state_)},
                    {"share", policy.share_},
                    {"parameters", policy.settings_.parameters_}});
  }
  return rows;
}

auto account_rows(daemon_context& context) -> json {
  auto rows = json::array();
  for (const auto& [name, account] : context.fleet_->configuration()->accounts_) {
    rows.push_back({{"account", name}, {"limit", account.max_in_flight_}});
  }
  return rows;
}

auto configuration_rows(daemon_context& context) -> json {
  auto current = context.configuration_->current();
  auto configuration = context.fleet_->configuration();
  return json::array({{{"generation", current.generation_},
                       {"author", current.author_},
                       {"accounts", configuration->accounts_.size()},
                       {"policies", configuration->policies_.size()},
                       {"drained_upstreams", configuration->drained_upstreams_},
                       {"drained_halls", configuration->drained_halls_},
                       {"pinned_shards", configuration->pinned_shards_.size()}}});
}

auto generation_rows(daemon_context& context) -> json {
  auto rows = json::array();
  auto found = context.store_->scan("generation/", "", most_generations);
  if (!ok(found)) {
    return rows;
  }
  for (const auto& row : value(found)) {
    auto body = json::parse(row.value_, nullptr, false);
    if (body.is_object()) {
      rows.push_back({{"generation", body.value("generation", 0)}, {"author", body.value("author", "")}});
    }
  }
  return rows;
}

auto comparison_rows(daemon_context& context) -> json {
  auto rows = json::array();
  for (const auto& [name, record] : context.comparison_->records()) {
    rows.push_back({{"policy", name},
                    {"programs", record.programs_},
                    {"calls", record.calls_},
                    {"refusals", record.refusals_},
                    {"prompt_tokens", record.prompt_tokens_},
                    {"recomputed_tokens", record.recomputed_tokens_},
                    {"moves", record.moves_},
                    {"shadow_decisions", record.shadow_decisions_},
                    {"shadow_agreements", record.shadow_agreements_},
                    {"latencies_ms", record.latencies_ms_}});
  }
  return rows;
}

}  // namespace

auto rows_of(daemon_context& context, shard_set& shards, const std::string& subject) -> json {
  if (subject == "daemons") {
    return json::array({daemon_row(context, shards)});
  }
  if (subject == "engines") {
    return engine_rows(context);
  }
  if (subject == "policies") {
    return policy_rows(context);
  }
  if (subject == "accounts") {
    return account_rows(context);
  }
  if (subject == "configuration") {
    return configuration_rows(context);
  }
  if (subject == "generations") {
    return generation_rows(context);
  }
  if (subject == "comparison") {
    return comparison_rows(context);
  }
  return json::parse(shards.rows(subject), nullptr, false);
}

}  // namespace birchlever
