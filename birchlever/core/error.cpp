#include "birchlever/core/error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

struct error_row {
  error_code code_;
  std::string_view name_;
  int http_status_;
};

constexpr auto error_table = std::array{
    error_row{error_code::malformed_json, "malformed_json", 400},
    error_row{error_code::body_too_large, "body_too_large", 413},
    error_row{error_code::wrong_type, "wrong_type", 400},
    error_row{error_code::missing_field, "missing_field", 400},
    error_row{error_code::unknown_route, "unknown_route", 404},
    error_row{error_code::unauthenticated, "unauthenticated", 401},
    error_row{error_code::forbidden, "forbidden", 403},
    error_row{error_code::unknown_program, "unknown_program", 404},
    error_row{error_code::unknown_service, "unknown_service", 404},
    error_row{error_code::unknown_model, "unknown_model", 404},
    error_row{error_code::call_out_of_order, "call_out_of_order", 409},
    error_row{error_code::call_in_progress, "call_in_progress", 409},
    error_row{error_code::call_mismatch, "call_mismatch", 409},
    error_row{error_code::program_ended, "program_ended", 410},
    error_row{error_code::program_too_long, "program_too_long", 429},
    error_row{error_code::program_looping, "program_looping", 429},
    error_row{error_code::budget_exhausted, "budget_exhausted", 402},
    error_row{error_code::budget_mismatch, "budget_mismatch", 409},
    error_row{error_code::deadline_exceeded, "deadline_exceeded", 504},
    error_row{error_code::account_over_limit, "account_over_limit", 429},
    error_row{error_code::overloaded, "overloaded", 503},
    error_row{error_code::not_ready, "not_ready", 503},
    error_row{error_code::stopping, "stopping", 503},
    error_row{error_code::configuration_stale, "configuration_stale", 503},
    error_row{error_code::configuration_conflict, "configuration_conflict", 409},
    error_row{error_code::not_owner, "not_owner", 503},
    error_row{error_code::lease_lost, "lease_lost", 503},
    error_row{error_code::owner_unreachable, "owner_unreachable", 503},
    error_row{error_code::store_unavailable, "store_unavailable", 503},
    error_row{error_code::store_conflict, "store_conflict", 503},
    error_row{error_code::store_unknown, "store_unknown", 503},
    error_row{error_code::store_rejected, "store_rejected", 500},
    error_row{error_code::no_upstream, "no_upstream", 503},
    error_row{error_code::upstream_refused, "upstream_refused", 503},
    error_row{error_code::upstream_failed, "upstream_failed", 502},
    error_row{error_code::upstream_timeout, "upstream_timeout", 504},
    error_row{error_code::upstreams_crashed, "upstreams_crashed", 502},
    error_row{error_code::sends_unresolved, "sends_unresolved", 503},
    error_row{error_code::stale_fence, "stale_fence", 503},
    error_row{error_code::outcome_unknown, "outcome_unknown", 502},
    error_row{error_code::answer_not_recorded, "answer_not_recorded", 503},
    error_row{error_code::syntax_error, "syntax_error", 400},
    error_row{error_code::invalid_setting, "invalid_setting", 400},
    error_row{error_code::invalid_command, "invalid_command", 400},
    error_row{error_code::invalid_account, "invalid_account", 400},
    error_row{error_code::peer_refused, "peer_refused", 403},
    error_row{error_code::malformed_request, "malformed_request", 400},
    error_row{error_code::header_too_large, "header_too_large", 431},
    error_row{error_code::request_too_slow, "request_too_slow", 408},
    error_row{error_code::unknown_turn, "unknown_turn", 404},
    error_row{error_code::answer_cut, "answer_cut", 502},
    error_row{error_code::address_unavailable, "address_unavailable", 503},
    error_row{error_code::settings_incomplete, "settings_incomplete", 503},
    error_row{error_code::memory_exhausted, "memory_exhausted", 503},
    error_row{error_code::internal, "internal", 500},
};

static_assert(error_table.size() == static_cast<std::size_t>(error_code::internal) + 1,
              "error_table must have one row per error code");

auto row_of(error_code code) -> const error_row& {
  return error_table.at(static_cast<std::size_t>(code));
}

}  // namespace

auto name_of(error_code code) -> std::string_view {
  return row_of(code).name_;
}

auto name_of(ran_state state) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 3>{"not_run", "ran", "outcome_unknown"};
  return names.at(static_cast<std::size_t>(state));
}

auto http_status_of(error_code code) -> int {
  return row_of(code).http_status_;
}

auto to_json_text(const error& failure) -> std::string {
  auto body = nlohmann::json{
      {"type", name_of(failure.code_)}, {"message", failure.detail_}, {"ran", name_of(failure.ran_)}};
  if (failure.retry_after_ms_ > 0) {
    body["retry_after_ms"] = failure.retry_after_ms_;
  }
  return nlohmann::json{{"error", std::move(body)}}.dump(-1, ' ', false,
                                                         nlohmann::json::error_handler_t::replace);
}

}  // namespace birchlever
