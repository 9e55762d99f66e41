#include "birchlever/gateway/upstream_dispatch.h"

#include "birchlever/core/hashing.h"
#include "birchlever/policy/policy_book.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"

namespace birchlever {
namespace {

constexpr auto full_retry_ms =
    milliseconds{250};  // About one tool call or turn: a place is free again by then.

constexpr auto first_failure_status = 500;
constexpr auto least_share =
    std::int64_t{2};  // Of an upstream's connections, however many daemons there are.

/// An upstream's own failure counts like a lost answer: its health check may be good all the same. Time that
/// ran out here does not: it tells of load, and avoiding loaded upstreams would load the others.
auto evidence_of(offer_outcome outcome, const gateway_request& request) -> upstream_evidence {
  switch (outcome) {
    case offer_outcome::refused_full:
      return upstream_evidence::full;
    case offer_outcome::not_reached:
    case offer_outcome::refused:
    case offer_outcome::unknown:
      return upstream_evidence::failed;
    case offer_outcome::out_of_time:  // The caller may have had little time; an upstream that hangs shows as
                                      // silent.
      return upstream_evidence::none;
    case offer_outcome::broken_off:
      return request.relayed_.upstream_broke_off_ ? upstream_evidence::failed : upstream_evidence::none;
    case offer_outcome::caller_gone:
      return upstream_evidence::none;
    case offer_outcome::relayed:
      break;
  }
  return request.final_status_ >= first_failure_status ? upstream_evidence::failed
                                                       : upstream_evidence::served;
}

/// True for requests that may run more than once, in parts that follow each other in the case of streams.
auto may_run_again(const gateway_request& request) -> bool {
  return request.route_->kind_ == route_kind::safe || request.route_->resumable_;
}

}  // namespace

auto upstream_dispatch::wish_of(const gateway_request& request) const -> upstream_wish {
  auto wish = upstream_wish{};
  wish.service_ = request.service_;
  wish.model_ = request.facts_.model_;
  wish.prompt_tokens_ = request.facts_.prompt_tokens_;
  wish.most_tokens_ = request.facts_.most_tokens_;
  wish.parts_ = request.facts_.parts_;
  wish.program_ = request.facts_.program_;
  wish.last_upstream_ = request.last_upstream_;
  if (context_->home_upstreams_ && !request.route_->retains_turns_) {
    wish.home_subject_ = request.facts_.program_;
  }
  wish.seed_ = hash_of(request.facts_.request_id_);
  const auto* service = request.configuration_->find_service(request.service_);
  if (service != nullptr && service->max_connections_ > 0) {
    // All daemons together may have so many connections to an upstream, which resets any more.
    auto share = service->max_connections_ / std::max<std::int64_t>(context_->daemons_, 1);
    wish.most_here_ = static_cast<int>(std::max<std::int64_t>(share, least_share));
  }
  if (service != nullptr) {
    wish.cold_start_ = {service->cold_requests_per_s_, context_->daemons_, service->cold_duration_};
  }
  wish.regions_.add(request.route_->allowed_regions_);
  if (request.account_ != nullptr) {
    wish.regions_.add(request.account_->allowed_regions_);
  }
  if (service != nullptr && service->engine_) {
    wish.cache_room_ = service->engine_->cache_tokens_;
  }
  return wish;
}

auto upstream_dispatch::policy_of(const gateway_request& request) const
    -> std::shared_ptr<const policy_interface> {
  const auto* service = request.configuration_->find_service(request.service_);
  auto engines = service != nullptr && service->engine_;
  return context_->policies_->find(engines ? context_->engine_policy_ : context_->service_policy_);
}

auto upstream_dispatch::try_once(gateway_request& request, upstream_wish& wish, tries& so_far)
    -> task<offer_outcome> {
  auto choice = context_->upstreams_->choose(*policy_of(request), wish);
  if (!ok(choice)) {
    co_return offer_outcome::refused_full;
  }
  auto target = value(choice).chosen_;
  auto began = context_->clock_.now();
  auto sent_at = context_->upstreams_->begin(*target, wish);
  auto offer = upstream_offer{*context_, request, *target, sent_at};
  auto outcome = co_await offer.run();
  request.connection_->on_gone(nullptr);
  context_->upstreams_->end(*target, sent_at, evidence_of(outcome, request));
  wish.excluded_.insert(target->entry().id_);
  ++so_far.offers_;
  auto took = context_->clock_.now() - began;
  context_->metrics_->observe("upstream_ms{outcome=\"" + std::string{name_of(outcome)} + "\"}",
                              static_cast<double>(took));
  log_event(log_level::info, "request_offered",
            {{"request", request.facts_.request_id_},
             {"program", request.facts_.program_},
             {"account", request.account_name()},
             {"route", request.route_->name_},
             {"upstream", target->entry().id_},
             {"candidates", static_cast<std::int64_t>(value(choice).candidates_)},
             {"held_tokens", value(choice).held_tokens_},
             {"prompt_tokens", request.facts_.prompt_tokens_},
             {"running_there", std::int64_t{target->running()}},
             {"waited_ms", began - request.received_at_},
             {"took_ms", took},
             {"events", request.relayed_.events_},
             {"configuration", request.configuration_->version_},
             {"outcome", std::string{name_of(outcome)}}});
  co_return outcome;
}

auto upstream_dispatch::may_go_on(const gateway_request& request, offer_outcome last,
                                  const tries& so_far) const -> bool {
  auto time_left = request.due_ - context_->clock_.now() > context_->limits_.safety_ms_;
  if (!time_left || so_far.offers_ >= context_->limits_.most_offers_ || request.connection_->gone()) {
    return false;
  }
  switch (last) {
    case offer_outcome::not_reached:
    case offer_outcome::refused_full:
    case offer_outcome::refused:
      return true;
    case offer_outcome::unknown:
      return may_run_again(request) && so_far.may_have_run_ < request.route_->max_upstreams_;
    case offer_outcome::broken_off:
      return may_run_again(request) && request.relayed_.upstream_broke_off_ &&
             so_far.may_have_run_ < request.route_->max_upstreams_;
    case offer_outcome::relayed:
    case offer_outcome::out_of_time:
    case offer_outcome::caller_gone:
      break;
  }
  return false;
}

auto upstream_dispatch::final_error(offer_outcome last, const tries& so_far) -> error {
  if (so_far.may_have_run_ == 0) {
    return error{error_code::no_upstream, "no upstream took the request", ran_state::not_run, full_retry_ms};
  }
  if (last == offer_outcome::out_of_time) {
    return error{error_code::upstream_timeout, "the upstream did not answer in time",
                 ran_state::outcome_unknown};
  }
  return error{error_code::outcome_unknown, "the upstream's answer was lost", ran_state::outcome_unknown};
}

auto upstream_dispatch::cut_stream(gateway_request& request) -> void {
  log_event(log_level::warning, "stream_cut",
            {{"request", request.facts_.request_id_},
             {"program", request.facts_.program_},
             {"events", request.relayed_.events_}});
  context_->metrics_->count("streams_cut_total");
  request.connection_->close();
  request.keep_alive_ = false;
}

auto upstream_dispatch::offer_to_upstreams(gateway_request& request, tries& so_far) -> task<offer_outcome> {
  auto wish = wish_of(request);
  auto last = offer_outcome::refused_full;
  auto go_on = true;
  while (go_on) {
    auto before = so_far.offers_;
    request.relayed_.reached_upstream_ = so_far.may_have_run_ > 0;
    last = co_await try_once(request, wish, so_far);
    auto may_have_run = last == offer_outcome::unknown || last == offer_outcome::out_of_time ||
                        last == offer_outcome::broken_off ||
                        (last == offer_outcome::caller_gone && request.relayed_.reached_upstream_);
    if (may_have_run) {
      ++so_far.may_have_run_;
    }
    go_on = so_far.offers_ > before && may_go_on(request, last, so_far);
  }
  co_return last;
}

auto upstream_dispatch::apply(gateway_request& request, next_filter /*next*/) -> task<> {
  request.relayed_.last_event_ = request.facts_.last_event_;
  auto so_far = tries{};
  auto last = co_await offer_to_upstreams(request, so_far);
  if (last == offer_outcome::relayed) {
    co_return;
  }
  request.relayed_.reached_upstream_ = so_far.may_have_run_ > 0;
  if (request.answered_) {
    cut_stream(request);
    co_return;
  }
  if (last == offer_outcome::caller_gone || request.connection_->gone()) {
    request.connection_->close();
    request.keep_alive_ = false;
    co_return;
  }
  auto reason = final_error(last, so_far);
  co_await refuse(*context_, request, reason);
}

}  // namespace birchlever
