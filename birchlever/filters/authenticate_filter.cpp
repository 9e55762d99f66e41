#include "birchlever/filters/authenticate_filter.h"

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/coordination/versioned_configuration.h"

namespace birchlever {
namespace {

constexpr auto not_ready_retry_ms = std::int64_t{1000};

}  // namespace

auto bearer_key(const std::string& header) -> std::string {
  constexpr auto scheme = std::string_view{"Bearer "};
  auto has_scheme = header.compare(0, scheme.size(), scheme) == 0;
  return has_scheme ? header.substr(scheme.size()) : std::string{};
}

authenticate_filter::authenticate_filter(std::shared_ptr<daemon_context> context)
    : context_{std::move(context)} {}

auto authenticate_filter::apply(request_context& context) -> filter_result {
  if (context_->configuration_->generation() == 0) {
    return refuse(context, {error_code::not_ready, "configuration not loaded yet", ran_state::not_run,
                            not_ready_retry_ms});
  }
  auto key = bearer_key(context.header("authorization"));
  auto account = key.empty() ? std::string{} : context_->fleet_->configuration()->account_of(key);
  if (account.empty()) {
    return refuse(context, {error_code::unauthenticated, "missing or unknown client account key"});
  }
  context.open_.order_.account_ = account;
  return filter_result::proceed;
}

}  // namespace birchlever
