#include "fleet_model/fleet_model.h"

#include <algorithm>
#include <limits>

#include "birchlever/core/hashing.h"
#include "birchlever/gateway/gateway_settings.h"
#include "birchlever/policy/policy_interface.h"
#include "birchlever/upstream/request_progress.h"
#include "fleet_model/daemon_group.h"
#include "fleet_model/model_figures.h"

namespace birchlever::model {
namespace {

constexpr auto caller_way_ms = 1.0;
constexpr auto connect_limit_ms = 700.0;  // After which a daemon that is cut gives up a connection.
constexpr auto most_offers = 6;           // Upstreams asked a try, as in the gateway.
constexpr auto full_retry_ms = 250.0;     // When a caller is told to come back.
constexpr auto most_tries = 2;            // Of one turn, by the platform's sheets.
constexpr auto most_restarts = 2;         // Likewise.
constexpr auto restart_ms = 250.0;        // The mean of the time after which callers begin a turn anew.

/// One request on its way through a daemon.
struct model_try {
  model_program* program_ = nullptr;
  int daemon_ = 0;
  upstream_criteria wish_;
  model_request request_;
  int offers_ = 0;
  double due_ms_ = 0;
  bool tool_ = false;
  std::shared_ptr<request_progress> progress_;  ///< Of the present offer.
  std::function<void(bool)> on_end_;            ///< Told whether it was served.
};

using try_pointer = std::shared_ptr<model_try>;

/// One run.
class fleet {
 public:
  fleet(const load_pattern& pattern, const model_settings& settings,
        std::unique_ptr<policy_interface> engine_policy, std::unique_ptr<policy_interface> service_policy)
      : pattern_{&pattern},
        full_knowledge_{settings.full_knowledge_},
        source_{pattern, settings.seed_},
        engine_policy_{std::move(engine_policy)},
        service_policy_{std::move(service_policy)},
        upstreams_{pattern, events_},
        daemons_{pattern, upstreams_, events_, source_, settings.learn_speeds_},
        figures_{pattern} {}

  auto run() -> model_outcome {
    for (const auto& shape : pattern_->programs_) {
      schedule_program(shape);
    }
    for (const auto& one : pattern_->disturbances_) {
      events_.after(one.at_ms_, [this, &one] { set_disturbance(one, true); });
      events_.after(one.at_ms_ + one.for_ms_, [this, &one] { set_disturbance(one, false); });
    }
    events_.after(look_gap_ms, [this] { look_at_health(); });
    events_.run_until(pattern_->duration_ms_);
    return figures_.outcome(upstreams_);
  }

 private:
  // Programs.

  auto burst_factor() const -> double {
    auto factor = 1.0;
    for (const auto& one : pattern_->disturbances_) {
      auto runs = events_.now_ms() >= one.at_ms_ && events_.now_ms() < one.at_ms_ + one.for_ms_;
      factor *= one.kind_ == disturbance_kind::burst && runs ? one.factor_ : 1;
    }
    return factor;
  }

  auto schedule_program(const program_shape& shape) -> void {
    events_.after(source_.next_gap_ms(shape, burst_factor()), [this, &shape] {
      programs_.push_back(std::make_unique<model_program>(source_.draw(shape, events_.now_ms())));
      auto* begun = programs_.back().get();
      figures_.begin(*begun);
      begin_turn(begun);
      schedule_program(shape);
    });
  }

  auto begin_turn(model_program* program) -> void {
    program->tries_ = 0;
    program->turn_began_ms_ = program->restarts_ == 0 ? events_.now_ms() : program->turn_began_ms_;
    if (source_.chance() < pattern_->moves_) {
      program->daemon_ = daemons_.some();
    }
    try_turn(program);
  }

  auto try_turn(model_program* program) -> void {
    ++program->tries_;
    const auto& turn = program->turns_[program->turn_];
    auto begun = std::make_shared<model_try>();
    begun->program_ = program;
    begun->daemon_ = program->daemon_;
    begun->due_ms_ = events_.now_ms() + program->shape_->time_limit_ms_;
    begun->request_.parts_ = program->parts();
    begun->request_.output_tokens_ = turn.output_;
    begun->request_.due_ms_ = begun->due_ms_;
    begun->request_.urgency_ = program->shape_->rank_;
    auto& wish = begun->wish_;
    wish.service_ = engine_service;
    wish.parts_ = begun->request_.parts_;
    for (const auto& part : wish.parts_) {
      wish.prompt_tokens_ += part.tokens_;
    }
    constexpr auto most_over_mean = 4.0;  // Callers name about so many times the mean as the most.
    wish.max_tokens_ = static_cast<std::int64_t>(most_over_mean * program->shape_->output_);
    wish.program_ = std::to_string(program->id_);
    wish.last_upstream_ = program->last_upstream_;
    wish.cache_capacity_ = static_cast<std::int64_t>(pattern_->engine_tokens_);
    wish.seed_ = hash_of(std::to_string(program->id_), program->turn_);
    begun->on_end_ = [this, program](bool served) { end_try(program, served); };
    events_.after(caller_way_ms, [this, begun] { offer(begun); });
  }

  auto end_try(model_program* program, bool served) -> void {
    if (served) {
      program->restarts_ = 0;
      figures_.note_turn(program->turn_began_ms_, events_.now_ms());
      end_turn(program);
    } else if (program->tries_ < most_tries) {
      program->daemon_ = daemons_.some();
      events_.after(full_retry_ms, [this, program] { try_turn(program); });
    } else if (program->restarts_ < most_restarts) {
      ++program->restarts_;
      program->daemon_ = daemons_.some();
      events_.after(restart_ms, [this, program] { begin_turn(program); });
    } else {
      fail(program);
    }
  }

  auto fail(model_program* program) -> void {
    if (!std::exchange(program->ended_, true)) {
      figures_.fail(*program);
    }
  }

  auto end_turn(model_program* program) -> void {
    const auto& turn = program->turns_[program->turn_];
    if (program->turn_ + 1 == program->turns_.size()) {
      end_program(program);
      return;
    }
    ++program->turn_;
    auto open = std::make_shared<std::size_t>(turn.tools_ms_.size());
    auto think_ms = turn.think_ms_;
    auto go_on = [this, program, think_ms] {
      events_.after(think_ms, [this, program] { begin_turn(program); });
    };
    if (*open == 0) {
      go_on();
      return;
    }
    for (auto work_ms : turn.tools_ms_) {
      call_tool(program, work_ms, most_tries, [this, program, open, go_on](bool served) {
        if (!served) {
          fail(program);
        }
        if (--*open == 0 && !program->ended_) {
          go_on();
        }
      });
    }
  }

  auto call_tool(model_program* program, double work_ms, int tries, std::function<void(bool)> on_end)
      -> void {
    auto begun = std::make_shared<model_try>();
    begun->program_ = program;
    begun->tool_ = true;
    begun->daemon_ = tries == most_tries ? program->daemon_ : daemons_.some();
    begun->due_ms_ = events_.now_ms() + program->shape_->time_limit_ms_;
    begun->request_.work_ms_ = work_ms;
    begun->wish_.service_ = tool_service;
    begun->wish_.seed_ = hash_of(std::to_string(program->id_), ++calls_);
    begun->on_end_ = [this, program, work_ms, tries, on_end = std::move(on_end)](bool served) {
      if (served || tries <= 1) {
        on_end(served);
        return;
      }
      events_.after(full_retry_ms, [this, program, work_ms, tries, on_end] {
        call_tool(program, work_ms, tries - 1, on_end);
      });
    };
    events_.after(caller_way_ms, [this, begun] { offer(begun); });
  }

  auto end_program(model_program* program) -> void {
    program->ended_ = true;
    figures_.end(*program, events_.now_ms());
  }

  // The way of one request.

  auto offer(const try_pointer& one) -> void {
    auto& daemon = daemons_.at(one->daemon_);
    const auto& policy = one->tool_ ? *service_policy_ : *engine_policy_;
    auto choice = full_knowledge_ && !one->tool_ ? choose_fastest(daemon, *one)
                                                 : daemon.directory_.choose(policy, one->wish_);
    if (!ok(choice) || one->offers_ >= most_offers || events_.now_ms() >= one->due_ms_) {
      events_.after(caller_way_ms, [one] { one->on_end_(false); });
      return;
    }
    ++one->offers_;
    auto target = value(choice).chosen_;
    if (!one->tool_) {
      figures_.note_prompt(one->wish_.prompt_tokens_, value(choice).cached_tokens_);
    }
    auto sent_at = daemon.directory_.record_sent(*target, one->wish_);
    auto progress = request_progress{};
    progress.route_ = one->tool_ ? "tools" : one->program_->shape_->name_;
    progress.streams_ = !one->tool_;
    auto uncached = one->wish_.prompt_tokens_ - value(choice).cached_tokens_;
    progress.uncached_tokens_ = static_cast<double>(std::max<std::int64_t>(uncached, 0));
    one->progress_ = daemon.directory_.track(*target, std::move(progress));
    const auto& place = upstreams_.at(target->entry().id_);
    figures_.note_offer(place, events_.now_ms());
    if (daemon.cut_) {
      events_.after(connect_limit_ms, [this, one, target, sent_at] { not_reached(one, target, sent_at); });
    } else if (place.dead_) {
      events_.after(2 * way_ms, [this, one, target, sent_at] { not_reached(one, target, sent_at); });
    } else {
      events_.after(way_ms, [this, one, target, sent_at] { arrive(one, target, sent_at); });
    }
  }

  auto choose_fastest(model_daemon& daemon, const model_try& one) -> result<upstream_choice> {
    auto chosen = upstream_choice{};
    auto shortest = std::numeric_limits<double>::infinity();
    for (const auto& place : upstreams_.all()) {
      auto usable =
          place.entry_.service_ == engine_service && one.wish_.excluded_.count(place.entry_.id_) == 0;
      auto expected = usable ? place.model_->expected_ms(one.request_) : shortest;
      if (expected < shortest) {
        shortest = expected;
        chosen.chosen_ = daemon.directory_.find(place.entry_.id_);
      }
    }
    if (!chosen.chosen_) {
      return error{error_code::no_upstream, "no engine is left for this turn", ran_state::not_run};
    }
    return chosen;
  }

  auto not_reached(const try_pointer& one, const upstream_pointer& target, milliseconds sent_at) -> void {
    end_offer(one, *target, sent_at, upstream_outcome::failed);
    offer(one);
  }

  auto end_offer(const try_pointer& one, upstream& target, milliseconds sent_at, upstream_outcome evidence)
      -> void {
    one->wish_.excluded_.insert(target.entry().id_);
    daemon_of(*one).directory_.record_end(target, one->progress_, evidence == upstream_outcome::served);
    daemon_of(*one).directory_.record_finished(target, sent_at, evidence);
  }

  auto arrive(const try_pointer& one, const upstream_pointer& target, milliseconds sent_at) -> void {
    auto& place = upstreams_.at(target->entry().id_);
    auto request = one->request_;
    auto lost = source_.chance() < place.lost_share_;
    request.on_first_ = [this, one, target, sent_at, lost] {
      if (!lost && !daemon_of(*one).cut_) {
        daemon_of(*one).directory_.record_response_started(*target, sent_at);
      }
    };
    if (!one->tool_ && one->progress_) {
      request.on_token_ = [this, one, target, lost] {
        if (!lost && !daemon_of(*one).cut_) {
          daemon_of(*one).directory_.record_tokens(*target, one->progress_, 1, 0);
        }
      };
    }
    request.on_done_ = [this, one, target, sent_at, lost] {
      events_.after(way_ms, [this, one, target, sent_at, lost] { answer(one, target, sent_at, lost); });
    };
    request.on_refused_ = [this, one, target, sent_at] {
      events_.after(way_ms, [this, one, target, sent_at] {
        end_offer(one, *target, sent_at, upstream_outcome::full);
        offer(one);
      });
    };
    place.model_->submit(std::move(request));
  }

  auto answer(const try_pointer& one, const upstream_pointer& target, milliseconds sent_at, bool lost)
      -> void {
    auto in_time = events_.now_ms() < one->due_ms_;
    if (daemon_of(*one).cut_) {
      auto left = std::max(one->due_ms_ - events_.now_ms(), 0.0);
      events_.after(left, [this, one, target, sent_at] {
        end_offer(one, *target, sent_at, upstream_outcome::none);
        one->on_end_(false);
      });
      return;
    }
    auto served = !lost && in_time;
    auto evidence = lost ? upstream_outcome::failed : upstream_outcome::served;
    end_offer(one, *target, sent_at, in_time ? evidence : upstream_outcome::none);
    if (served && !one->tool_) {
      one->program_->last_upstream_ = target->entry().id_;
    }
    events_.after(caller_way_ms, [one, served] { one->on_end_(served); });
  }

  auto daemon_of(const model_try& one) -> model_daemon& { return daemons_.at(one.daemon_); }

  // Disturbances.

  auto set_disturbance(const disturbance& what, bool on) -> void {
    auto count = static_cast<double>(upstreams_.all().size());
    switch (what.kind_) {
      case disturbance_kind::daemons_cut:
        daemons_.cut(on ? what.share_ : 0);
        break;
      case disturbance_kind::answers_lost:
        upstreams_.set_lost_share(on ? what.share_ : 0);
        break;
      case disturbance_kind::upstreams_dead:
        set_dead([&](const placed_upstream& /*one*/, std::size_t index) {
          return on && static_cast<double>(index) < what.share_ * count;
        });
        break;
      case disturbance_kind::hall_dead:
        set_dead([&](const placed_upstream& one, std::size_t /*index*/) {
          return on && one.entry_.data_hall_ == hall_name(0, *pattern_);
        });
        break;
      case disturbance_kind::engines_slow:
        upstreams_.set_slow(what.share_, on ? what.factor_ : 1);
        break;
      case disturbance_kind::burst:
        break;  // Asked for when the next program begins.
    }
  }

  auto set_dead(const std::function<bool(const placed_upstream&, std::size_t)>& picked) -> void {
    upstreams_.set_dead(picked);
    figures_.note_dead(upstreams_.dead(), events_.now_ms());
  }

  auto look_at_health() -> void {
    figures_.look(daemons_, upstreams_, events_.clock()->now());
    events_.after(look_gap_ms, [this] { look_at_health(); });
  }

  const load_pattern* pattern_;
  bool full_knowledge_;
  event_queue events_;
  program_source source_;
  std::unique_ptr<policy_interface> engine_policy_;
  std::unique_ptr<policy_interface> service_policy_;
  upstream_park upstreams_;
  daemon_group daemons_;
  std::vector<std::unique_ptr<model_program>> programs_;
  model_figures figures_;
  std::uint64_t calls_ = 0;
};

auto policy_of(const std::string& text) -> result<std::unique_ptr<policy_interface>> {
  auto parsed = parse_policy(text);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  return make_policy(value(parsed));
}

}  // namespace

auto play(const load_pattern& pattern, const model_settings& settings) -> result<model_outcome> {
  auto standard = gateway_settings{};
  auto engines =
      policy_of(settings.engine_policy_.empty() ? standard.engine_policy_ : settings.engine_policy_);
  auto services =
      policy_of(settings.service_policy_.empty() ? standard.service_policy_ : settings.service_policy_);
  if (!ok(engines)) {
    return failure(engines);
  }
  if (!ok(services)) {
    return failure(services);
  }
  auto made = fleet{pattern, settings, std::move(value(engines)), std::move(value(services))};
  return made.run();
}

}  // namespace birchlever::model
