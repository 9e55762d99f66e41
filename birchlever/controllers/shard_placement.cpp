#include "birchlever/controllers/shard_placement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/policy/policy_registry.h"
#include "birchlever/storage/table_store_interface.h"
#include "birchlever/telemetry/policy_comparison.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

using nlohmann::json;

auto placement_criteria(const open_request& request, const program& owner) -> placement_request {
  auto criteria = placement_request{};
  auto& call = criteria.call_;
  call.program_ = owner.id_;
  call.model_ = request.model_;
  call.data_hall_ = request.data_hall_;
  call.prompt_tokens_ = request.order_.prompt_tokens_;
  call.max_tokens_ = request.order_.max_tokens_;
  call.attained_tokens_ = owner.attained_tokens_;
  call.budget_remaining_ = owner.budget_.remaining();
  call.deadline_ms_ = request.order_.deadline_;
  call.account_share_ = request.account_share_;
  call.avoid_ = request.avoid_;
  criteria.service_ = request.service_;
  criteria.prefix_hashes_ = request.prefix_hashes_;
  criteria.last_upstream_ = owner.last_upstream_;
  criteria.last_prefix_tokens_ = owner.prompt_tokens_;
  return criteria;
}

auto evaluate_shadows(daemon_context& context, const placement_request& criteria, const std::string& chosen,
                      milliseconds now) -> void {
  for (const auto& [name, policy] : context.policies_->shadows()) {
    auto shadow = context.upstreams_->choose(*policy, criteria, now);
    auto agrees = ok(shadow) && value(shadow).upstream_.id_ == chosen;
    context.comparison_->update(name, [agrees](policy_record& record) {
      ++record.shadow_decisions_;
      record.shadow_agreements_ += agrees ? 1 : 0;
    });
  }
}

}  // namespace

auto place_call(daemon_context& context, const open_request& request, const program& owner)
    -> result<placed_call> {
  auto now = context.clock_->now();
  auto criteria = placement_criteria(request, owner);
  auto policy = context.policies_->find(owner.policy_);
  auto choice = context.upstreams_->choose(*policy, criteria, now);
  if (!ok(choice)) {
    context.comparison_->update(owner.policy_, [](policy_record& record) { ++record.refusals_; });
    return failure(choice);
  }
  auto& chosen = value(choice);
  auto placed = placed_call{};
  placed.ticket_.upstream_ = chosen.upstream_.id_;
  placed.ticket_.address_ = chosen.upstream_.address_;
  placed.ticket_.priority_ = chosen.priority_;
  placed.ticket_.send_within_ = context.settings_.send_within_ms_;
  placed.ticket_.policy_ = owner.policy_;
  if (request.service_.empty()) {
    evaluate_shadows(context, criteria, chosen.upstream_.id_, now);
    context.upstreams_->record_sent(chosen.upstream_.id_, request.prefix_hashes_, now);
  }
  placed.choice_ = std::move(chosen);
  return placed;
}

auto explain(const std::string& policy, const placement_result& choice) -> std::string {
  auto rows = json::array();
  for (const auto& candidate : choice.top_candidates_) {
    rows.push_back({{"engine", candidate.engine_},
                    {"cost", candidate.cost_terms_.cost_},
                    {"wait_ms", candidate.cost_terms_.wait_ms_},
                    {"compute_ms", candidate.cost_terms_.compute_ms_},
                    {"waste_ms", candidate.cost_terms_.waste_ms_}});
  }
  return json{{"policy", policy},
              {"choice", choice.upstream_.id_},
              {"priority", choice.priority_},
              {"weighed", choice.candidate_count_},
              {"candidates", std::move(rows)}}
      .dump();
}

auto read_answer(daemon_context& context, const std::string& answer, const answer_location& location)
    -> result<std::string> {
  if (location.segment_.empty()) {
    return answer;
  }
  auto segment = context.store_->get_object(location.segment_);
  if (!ok(segment)) {
    return failure(segment);
  }
  auto complete = value(segment) &&
                  value(segment)->size() >= static_cast<std::size_t>(location.offset_ + location.length_);
  if (!complete) {
    return error{error_code::store_unavailable, "answer segment is missing or truncated", ran_state::ran,
                 1000};
  }
  return value(segment)->substr(static_cast<std::size_t>(location.offset_),
                                static_cast<std::size_t>(location.length_));
}

auto ledger_settings_of(const daemon_settings& settings) -> ledger_settings {
  auto converted = ledger_settings{};
  converted.budget_slice_ = settings.budget_slice_;
  converted.default_budget_ = settings.default_budget_;
  converted.turn_limit_ = static_cast<int>(settings.turn_limit_);
  converted.loop_limit_ = static_cast<int>(settings.loop_limit_);
  converted.idle_limit_ = settings.idle_limit_ms_;
  converted.ended_retention_ = settings.ended_retention_ms_;
  converted.call_limit_ = settings.call_limit_ms_;
  return converted;
}

}  // namespace birchlever
