#include "fleet_model/fleet_model.h"

#include <algorithm>

#include "birchlever/controllers/peer_exchange.h"
#include "birchlever/core/hashing.h"
#include "birchlever/gateway/gateway_settings.h"
#include "birchlever/policy/policy_interface.h"
#include "fleet_model/model_daemon.h"
#include "fleet_model/model_program.h"
#include "fleet_model/upstream_model.h"

namespace birchlever::model {
namespace {

constexpr auto engine_service = "engines";
constexpr auto tool_service = "tools";
constexpr auto look_gap_ms = 100.0;  // Between two looks of a daemon at its views, as in the daemon itself.
constexpr auto way_ms = 1.5;         // One way between any two processes.
constexpr auto caller_way_ms = 1.0;
constexpr auto connect_limit_ms = 700.0;  // After which a daemon that is cut gives up a connection.
constexpr auto most_offers = 6;           // Upstreams asked a try, as in the gateway.
constexpr auto full_retry_ms = 250.0;     // When a caller is told to come back.
constexpr auto most_tries = 2;            // Of one turn, by the platform's sheets.
constexpr auto most_restarts = 2;         // Likewise.
constexpr auto restart_ms = 250.0;        // The mean of the time after which callers begin a turn anew.
constexpr auto ms_per_second = 1000.0;
constexpr auto found_within_ms = 1000.0;  // Offers to dead upstreams count from then on.

/// One request on its way through a daemon.
struct model_try {
  model_program* program_ = nullptr;
  int daemon_ = 0;
  upstream_wish wish_;
  model_request request_;
  int offers_ = 0;
  double due_ms_ = 0;
  bool tool_ = false;
  std::function<void(bool)> on_end_;  ///< Told whether it was served.
};

using try_pointer = std::shared_ptr<model_try>;

/// One run.
class fleet {
 public:
  fleet(const load_pattern& pattern, const model_settings& settings,
        std::unique_ptr<policy_interface> engine_policy, std::unique_ptr<policy_interface> service_policy)
      : pattern_{&pattern},
        source_{pattern, settings.seed_},
        engine_policy_{std::move(engine_policy)},
        service_policy_{std::move(service_policy)} {
    auto seconds = static_cast<std::size_t>(pattern.duration_ms_ / ms_per_second) + 1;
    outcome_.owed_by_second_.resize(seconds);
    outcome_.earned_by_second_.resize(seconds);
    build_upstreams();
    build_daemons();
  }

  auto run() -> model_outcome {
    for (const auto& shape : pattern_->programs_) {
      schedule_program(shape);
    }
    for (const auto& one : pattern_->disturbances_) {
      events_.after(one.at_ms_, [this, &one] { begin_disturbance(one); });
      events_.after(one.at_ms_ + one.for_ms_, [this, &one] { end_disturbance(one); });
    }
    events_.after(look_gap_ms, [this] { look_at_health(); });
    events_.run_until(pattern_->duration_ms_);
    finish();
    return outcome_;
  }

 private:
  struct placed_upstream {
    upstream_entry entry_;
    std::unique_ptr<upstream_model> model_;
    bool dead_ = false;
    double lost_share_ = 0;
  };

  auto hall_of(int index) const -> std::string { return "hall-" + std::to_string(index % pattern_->halls_); }

  auto add_upstream(const char* service, int index, int slots, std::unique_ptr<upstream_model> made) -> void {
    auto entry = upstream_entry{};
    entry.id_ = std::string{service} + "-" + std::to_string(index);
    entry.service_ = service;
    entry.data_hall_ = hall_of(index);
    entry.slots_ = slots;
    auto number = static_cast<std::uint16_t>(upstreams_.size() + 1);
    entry.address_ = {boost::asio::ip::address_v4::loopback(), number};
    index_[entry.id_] = upstreams_.size();
    upstreams_.push_back({std::move(entry), std::move(made)});
  }

  auto build_upstreams() -> void {
    auto settings = engine_model_settings{};
    settings.slots_ = pattern_->slots_;
    settings.queue_ = pattern_->engine_queue_;
    settings.step_ms_ = pattern_->step_ms_;
    settings.step_stream_ms_ = pattern_->step_stream_ms_;
    settings.prefill_per_ms_ = pattern_->prefill_per_ms_;
    settings.tokens_ = pattern_->engine_tokens_;
    for (auto index = 0; index < pattern_->engines_; ++index) {
      add_upstream(engine_service, index, pattern_->slots_,
                   std::make_unique<engine_model>(events_, settings));
    }
    for (auto index = 0; index < pattern_->services_; ++index) {
      add_upstream(
          tool_service, index, pattern_->service_slots_,
          std::make_unique<service_model>(events_, pattern_->service_slots_, pattern_->service_queue_));
    }
  }

  auto build_daemons() -> void {
    for (auto index = 0; index < pattern_->daemons_; ++index) {
      auto vm = "vm-" + std::to_string(index);
      daemons_.push_back(
          std::make_unique<model_daemon>(vm, hall_of(index), hash_of(vm), exchange_.fresh_, events_));
      auto& made = *daemons_.back();
      for (const auto& one : upstreams_) {
        made.directory_.put(one.entry_);
      }
      made.directory_.on_news([this, index](const upstream_news& news) { tell(index, news); });
      auto phase = source_.chance();
      auto gap = static_cast<double>(exchange_.send_gap_);
      events_.after(phase * gap, [this, index] { say(index); });
      events_.after(phase * look_gap_ms, [this, index] { look(index); });
    }
  }

  auto some_daemon() -> int { return static_cast<int>(source_.chance() * pattern_->daemons_); }

  // What daemons tell each other.

  auto say(int speaker) -> void {
    auto said = daemons_[static_cast<std::size_t>(speaker)]->describe();
    auto receivers = std::min(exchange_.most_receivers_, pattern_->daemons_ - 1);
    for (auto told = 0; told < receivers; ++told) {
      auto listener = some_daemon();
      events_.after(way_ms, [this, listener, said] {
        daemons_[static_cast<std::size_t>(listener)]->views_.hear(said);
      });
    }
    events_.after(static_cast<double>(exchange_.send_gap_), [this, speaker] { say(speaker); });
  }

  auto tell(int speaker, const upstream_news& news) -> void {
    auto& daemon = *daemons_[static_cast<std::size_t>(speaker)];
    daemon.untold_.push_back(news);
    if (!std::exchange(daemon.telling_, true)) {
      auto since_last = events_.now_ms() - daemon.told_at_ms_;
      auto gap = std::max(static_cast<double>(exchange_.news_gap_),
                          static_cast<double>(exchange_.least_news_gap_) - since_last);
      events_.after(gap, [this, speaker] { send_news(speaker); });
    }
  }

  auto send_news(int speaker) -> void {
    auto& daemon = *daemons_[static_cast<std::size_t>(speaker)];
    daemon.telling_ = false;
    daemon.told_at_ms_ = events_.now_ms();
    auto news = std::make_shared<std::vector<upstream_news>>(std::exchange(daemon.untold_, {}));
    auto share = static_cast<double>(exchange_.most_told_) / pattern_->daemons_;
    for (auto listener = 0; listener < pattern_->daemons_; ++listener) {
      if (listener == speaker || source_.chance() >= share) {
        continue;
      }
      events_.after(way_ms, [this, speaker, listener, news] {
        for (const auto& one : *news) {
          hear(listener, speaker, one);
        }
      });
    }
  }

  auto hear(int listener, int speaker, const upstream_news& news) -> void {
    const auto& peer = daemons_[static_cast<std::size_t>(speaker)]->vm_;
    daemons_[static_cast<std::size_t>(listener)]->directory_.hear(peer, news);
  }

  auto look(int index) -> void {
    auto& daemon = *daemons_[static_cast<std::size_t>(index)];
    daemon.take_views();
    daemon.directory_.find_stalled();
    events_.after(look_gap_ms, [this, index] { look(index); });
  }

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
      begin_turn(begun);
      schedule_program(shape);
    });
  }

  auto begin_turn(model_program* program) -> void {
    program->tries_ = 0;
    if (source_.chance() < pattern_->moves_) {
      program->daemon_ = some_daemon();
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
    wish.most_tokens_ = static_cast<std::int64_t>(most_over_mean * program->shape_->output_);
    wish.program_ = std::to_string(program->id_);
    wish.last_upstream_ = program->last_upstream_;
    wish.cache_room_ = static_cast<std::int64_t>(pattern_->engine_tokens_);
    wish.seed_ = hash_of(std::to_string(program->id_), program->turn_);
    begun->on_end_ = [this, program](bool served) { end_try(program, served); };
    events_.after(caller_way_ms, [this, begun] { offer(begun); });
  }

  auto end_try(model_program* program, bool served) -> void {
    if (served) {
      program->restarts_ = 0;
      end_turn(program);
    } else if (program->tries_ < most_tries) {
      program->daemon_ = some_daemon();
      events_.after(full_retry_ms, [this, program] { try_turn(program); });
    } else if (program->restarts_ < most_restarts) {
      ++program->restarts_;
      program->daemon_ = some_daemon();
      events_.after(restart_ms, [this, program] { begin_turn(program); });
    } else {
      program->ended_ = true;
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
      call_tool(program, work_ms, most_tries, [program, open, go_on](bool served) {
        program->ended_ = program->ended_ || !served;
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
    begun->daemon_ = tries == most_tries ? program->daemon_ : some_daemon();
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
    auto took = events_.now_ms() - program->began_ms_;
    const auto& shape = *program->shape_;
    auto in_time = took <= program->aim_ms_;
    auto earned = in_time ? shape.worth_ : took <= 2 * program->aim_ms_ ? shape.late_worth_ : 0;
    if (program->began_ms_ + program->aim_ms_ <= pattern_->duration_ms_) {
      outcome_.late_ += in_time ? 0 : 1;
      outcome_.earned_ += earned;
      outcome_.earned_by_second_[static_cast<std::size_t>(program->began_ms_ / ms_per_second)] += earned;
    }
    ended_ += 1;
  }

  // The way of one request.

  auto offer(const try_pointer& one) -> void {
    auto& daemon = *daemons_[static_cast<std::size_t>(one->daemon_)];
    const auto& policy = one->tool_ ? *service_policy_ : *engine_policy_;
    auto choice = daemon.directory_.choose(policy, one->wish_);
    if (!ok(choice) || one->offers_ >= most_offers || events_.now_ms() >= one->due_ms_) {
      events_.after(caller_way_ms, [one] { one->on_end_(false); });
      return;
    }
    ++one->offers_;
    auto target = value(choice).chosen_;
    if (!one->tool_) {
      asked_tokens_ += static_cast<double>(one->wish_.prompt_tokens_);
      lacking_tokens_ += static_cast<double>(one->wish_.prompt_tokens_ - value(choice).held_tokens_);
    }
    auto sent_at = daemon.directory_.begin(*target, one->wish_);
    count_offer(*target);
    auto& place = upstreams_[index_.at(target->entry().id_)];
    if (daemon.cut_) {
      events_.after(connect_limit_ms, [this, one, target, sent_at] { not_reached(one, target, sent_at); });
    } else if (place.dead_) {
      events_.after(2 * way_ms, [this, one, target, sent_at] { not_reached(one, target, sent_at); });
    } else {
      events_.after(way_ms, [this, one, target, sent_at] { arrive(one, target, sent_at); });
    }
  }

  auto not_reached(const try_pointer& one, const upstream_pointer& target, milliseconds sent_at) -> void {
    end_offer(one, *target, sent_at, upstream_evidence::failed);
    offer(one);
  }

  auto end_offer(const try_pointer& one, upstream& target, milliseconds sent_at, upstream_evidence evidence)
      -> void {
    one->wish_.excluded_.insert(target.entry().id_);
    daemons_[static_cast<std::size_t>(one->daemon_)]->directory_.end(target, sent_at, evidence);
  }

  auto arrive(const try_pointer& one, const upstream_pointer& target, milliseconds sent_at) -> void {
    auto& place = upstreams_[index_.at(target->entry().id_)];
    auto request = one->request_;
    auto lost = source_.chance() < place.lost_share_;
    request.on_first_ = [this, one, target, sent_at, lost] {
      if (!lost && !daemon_of(*one).cut_) {
        daemon_of(*one).directory_.answered(*target, sent_at);
      }
    };
    request.on_done_ = [this, one, target, sent_at, lost] {
      events_.after(way_ms, [this, one, target, sent_at, lost] { answer(one, target, sent_at, lost); });
    };
    request.on_refused_ = [this, one, target, sent_at] {
      events_.after(way_ms, [this, one, target, sent_at] {
        end_offer(one, *target, sent_at, upstream_evidence::full);
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
        end_offer(one, *target, sent_at, upstream_evidence::none);
        one->on_end_(false);
      });
      return;
    }
    auto served = !lost && in_time;
    auto evidence = lost ? upstream_evidence::failed : upstream_evidence::served;
    end_offer(one, *target, sent_at, in_time ? evidence : upstream_evidence::none);
    if (served && !one->tool_) {
      one->program_->last_upstream_ = target->entry().id_;
    }
    events_.after(caller_way_ms, [one, served] { one->on_end_(served); });
  }

  auto daemon_of(const model_try& one) -> model_daemon& {
    return *daemons_[static_cast<std::size_t>(one.daemon_)];
  }

  // Disturbances.

  auto begin_disturbance(const disturbance& what) -> void { set_disturbance(what, true); }
  auto end_disturbance(const disturbance& what) -> void { set_disturbance(what, false); }

  auto set_disturbance(const disturbance& what, bool on) -> void {
    auto picked = [&](std::size_t index, std::size_t of) {
      return static_cast<double>(index) < what.share_ * static_cast<double>(of);
    };
    switch (what.kind_) {
      case disturbance_kind::daemons_cut:
        for (auto index = std::size_t{0}; index < daemons_.size(); ++index) {
          daemons_[index]->cut_ = on && picked(index, daemons_.size());
        }
        break;
      case disturbance_kind::answers_lost:
        for (auto& one : upstreams_) {
          one.lost_share_ = on ? what.share_ : 0;
        }
        break;
      case disturbance_kind::upstreams_dead:
        for (auto index = std::size_t{0}; index < upstreams_.size(); ++index) {
          upstreams_[index].dead_ = on && picked(index, upstreams_.size());
        }
        count_dead();
        break;
      case disturbance_kind::hall_dead:
        for (auto& one : upstreams_) {
          one.dead_ = on && one.entry_.data_hall_ == hall_of(0);
        }
        count_dead();
        break;
      case disturbance_kind::burst:
      case disturbance_kind::store_away:
        break;
    }
  }

  auto count_dead() -> void {
    dead_since_ms_ = events_.now_ms();
    dead_ = std::count_if(upstreams_.begin(), upstreams_.end(), [](const auto& one) { return one.dead_; });
  }

  // Figures.

  auto count_offer(const upstream& target) -> void {
    if (dead_ == 0 || events_.now_ms() < dead_since_ms_ + found_within_ms) {
      return;
    }
    ++offers_;
    dead_offers_ += upstreams_[index_.at(target.entry().id_)].dead_ ? 1 : 0;
  }

  auto look_at_health() -> void {
    auto now = events_.clock()->now();
    for (const auto& daemon : daemons_) {
      auto sound = 0;
      auto sound_avoided = 0;
      daemon->directory_.each([&](const upstream& one) {
        auto avoided = one.health().avoided(now);
        if (!upstreams_[index_.at(one.entry().id_)].dead_) {
          ++sound;
          sound_avoided += avoided ? 1 : 0;
        }
      });
      auto share = static_cast<double>(sound_avoided) / std::max(sound, 1);
      outcome_.most_avoided_ = std::max(outcome_.most_avoided_, daemon->cut_ ? 0 : share);
      avoided_total_ += share;
      avoided_looks_ += 1;
    }
    events_.after(look_gap_ms, [this] { look_at_health(); });
  }

  auto finish() -> void {
    for (const auto& program : programs_) {
      if (program->began_ms_ + program->aim_ms_ > pattern_->duration_ms_) {
        continue;
      }
      ++outcome_.programs_;
      outcome_.owed_ += program->shape_->worth_;
      outcome_.owed_by_second_[static_cast<std::size_t>(program->began_ms_ / ms_per_second)] +=
          program->shape_->worth_;
      outcome_.failed_ += program->ended_ && program->turn_ + 1 < program->turns_.size() ? 1 : 0;
    }
    outcome_.mean_avoided_ = avoided_looks_ > 0 ? avoided_total_ / avoided_looks_ : 0;
    auto fair = offers_ * static_cast<double>(dead_) / static_cast<double>(upstreams_.size());
    outcome_.dead_offers_ = fair > 0 ? dead_offers_ / fair : 0;
    outcome_.read_share_ = asked_tokens_ > 0 ? lacking_tokens_ / asked_tokens_ : 0;
    auto total = 0.0;
    for (auto index = 0; index < pattern_->engines_; ++index) {
      auto taken = upstreams_[static_cast<std::size_t>(index)].model_->taken();
      total += taken;
      outcome_.idle_engines_ += taken == 0 ? 1 : 0;
      outcome_.busiest_engine_ = std::max(outcome_.busiest_engine_, static_cast<double>(taken));
    }
    outcome_.busiest_engine_ /= std::max(total / pattern_->engines_, 1.0);
  }

  const load_pattern* pattern_;
  peer_exchange_settings exchange_;
  event_queue events_;
  program_source source_;
  std::unique_ptr<policy_interface> engine_policy_;
  std::unique_ptr<policy_interface> service_policy_;
  std::vector<placed_upstream> upstreams_;
  std::map<std::string, std::size_t> index_;
  std::vector<std::unique_ptr<model_daemon>> daemons_;
  std::vector<std::unique_ptr<model_program>> programs_;
  model_outcome outcome_;
  std::uint64_t calls_ = 0;
  int ended_ = 0;
  double dead_since_ms_ = 0;
  std::int64_t dead_ = 0;
  double offers_ = 0;  ///< Since upstreams are dead and should be known to be.
  double dead_offers_ = 0;
  double avoided_total_ = 0;
  double avoided_looks_ = 0;
  double asked_tokens_ = 0;
  double lacking_tokens_ = 0;
};

auto policy_of(const std::string& text) -> result<std::unique_ptr<policy_interface>> {
  auto parsed = parse_policy(text);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  return make_policy(value(parsed));
}

}  // namespace

auto model_outcome::worth_between(double from_s, double to_s) const -> double {
  auto owed = 0.0;
  auto earned = 0.0;
  for (auto second = std::size_t{0}; second < owed_by_second_.size(); ++second) {
    auto at = static_cast<double>(second);
    auto within = at >= from_s && at < to_s;
    owed += within ? owed_by_second_[second] : 0;
    earned += within ? earned_by_second_[second] : 0;
  }
  return owed > 0 ? earned / owed : 0;
}

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
