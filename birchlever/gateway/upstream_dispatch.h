/// The last filter: chooses an upstream, sends the request, relays the answer.
#pragma once

#include "birchlever/gateway/gateway_context.h"
#include "birchlever/gateway/gateway_filter.h"
#include "birchlever/gateway/upstream_attempt.h"
#include "birchlever/upstream/upstream_directory.h"

namespace birchlever {

/// Sends again only what surely did not run, or what may run more than once.
class upstream_dispatch final : public gateway_filter {
 public:
  explicit upstream_dispatch(std::shared_ptr<gateway_context> context) : context_{std::move(context)} {}

  auto apply(gateway_request& request, next_filter next) -> task<> override;

 private:
  /// What the request's tries have come to.
  struct tries {
    int offers_ = 0;  ///< Upstreams asked.
    int may_have_run_ = 0;
  };

  auto wish_of(const gateway_request& request) const -> upstream_wish;
  auto policy_of(const gateway_request& request) const -> std::shared_ptr<const policy_interface>;
  auto offer_to_upstreams(gateway_request& request, tries& so_far) -> task<offer_outcome>;
  auto cut_stream(gateway_request& request) -> void;
  auto try_once(gateway_request& request, upstream_wish& wish, tries& so_far) -> task<offer_outcome>;
  auto may_go_on(const gateway_request& request, offer_outcome last, const tries& so_far) const -> bool;
  static auto final_error(offer_outcome last, const tries& so_far) -> error;

  std::shared_ptr<gateway_context> context_;
};

}  // namespace birchlever
