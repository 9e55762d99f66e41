/// Error type of the library: a code, a message, and whether the failed request may have run.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace birchlever {

/// Whether a failed request may have run on an upstream.
enum class ran_state { not_run, ran, outcome_unknown };

/// Error codes. The table in error.cpp maps each to its name and HTTP status.
enum class error_code {
  malformed_json,
  body_too_large,
  wrong_type,
  missing_field,
  unknown_route,
  unauthenticated,
  forbidden,
  unknown_program,
  unknown_service,
  unknown_model,
  call_out_of_order,
  call_in_progress,
  call_mismatch,
  program_ended,
  program_too_long,
  program_looping,
  budget_exhausted,
  budget_mismatch,
  deadline_exceeded,
  account_over_limit,
  overloaded,
  not_ready,
  stopping,
  configuration_stale,
  configuration_conflict,
  not_owner,
  lease_lost,
  owner_unreachable,
  store_unavailable,
  store_conflict,
  store_unknown,
  store_rejected,
  no_upstream,
  upstream_refused,
  upstream_failed,
  upstream_timeout,
  upstreams_crashed,
  sends_unresolved,
  stale_fence,
  outcome_unknown,
  answer_not_recorded,
  syntax_error,
  invalid_setting,
  invalid_command,
  invalid_account,
  peer_refused,
  malformed_request,
  header_too_large,
  request_too_slow,
  unknown_turn,
  answer_cut,
  address_unavailable,
  settings_incomplete,
  memory_exhausted,
  internal,
};

/// A failure with a human-readable message and the time after which to retry (0 if none is suggested).
struct error {
  error_code code_ = error_code::internal;
  std::string detail_;
  ran_state ran_ = ran_state::not_run;
  std::int64_t retry_after_ms_ = 0;
};

/// Returns the name of a code as sent to callers.
[[nodiscard]] auto name_of(error_code code) -> std::string_view;

/// Returns the name of a ran state as sent to callers.
[[nodiscard]] auto name_of(ran_state state) -> std::string_view;

/// Returns the HTTP status of responses with this code.
[[nodiscard]] auto http_status_of(error_code code) -> int;

/// Returns the JSON body of an error response.
[[nodiscard]] auto to_json_text(const error& failure) -> std::string;

}  // namespace birchlever
