/// A randomized soak of the gateway: real processes, faults from outside them, promises checked from what
/// callers and upstreams see. Exit code 0 when every promise held.
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <optional>

#include "soak/fault_schedule.h"
#include "soak/harmful_programs.h"
#include "soak/soak_accounts.h"

DEFINE_string(binary, "out/release/birchlever", "the program under test");
DEFINE_string(folder, "/tmp", "for settings files and logs of the gateways");
DEFINE_uint64(seed, 1, "decides faults and load");
DEFINE_int32(gateways, 4, "processes of the program");
DEFINE_int32(engines, 4, "stand-ins of model engines");
DEFINE_int32(callers, 12, "programs under way at once");
DEFINE_double(seconds, 6, "of faults in each round");
DEFINE_string(faults, "usual", "kinds of faults: usual, silent or usual_changes");
DEFINE_bool(accounts, true, "callers belong to client accounts");
DEFINE_bool(harmful, false, "some requests end the upstreams that run them");
DEFINE_bool(harmful_forms, false, "they do so in all forms, some at once, from impatient callers");
DEFINE_bool(process_faults, false, "signals, settings files, ports and unfinished bodies too");
DEFINE_bool(large_inputs, false, "some turns have inputs of up to the limit of the configuration");
DEFINE_bool(early_responses, false, "upstreams respond before they have read long requests, and reset");
DEFINE_int32(services, 3, "stand-ins of plain services");
DEFINE_string(known_red, "", "a promise that a known fault breaks: reported, but no failure of the run");
DEFINE_int32(rounds, 1, "of faults, each followed by planned work in calm");

namespace birchlever::soak {
namespace {

constexpr auto ms_per_second = 1000.0;
constexpr auto start_limit = milliseconds{10000};
constexpr auto last_patience = milliseconds{12000};  // The platform's recovery_s.
constexpr auto look_ms = milliseconds{25};
constexpr auto most_last_turns = std::size_t{40};

auto fault_set_of(std::string_view name) -> std::optional<fault_set> {
  constexpr auto names = std::array<std::string_view, 3>{"usual", "silent", "usual_changes"};
  const auto* found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? std::nullopt : std::optional{static_cast<fault_set>(found - names.begin())};
}

auto settings_from_flags() -> soak_settings {
  auto settings = soak_settings{};
  settings.binary_ = FLAGS_binary;
  settings.folder_ = FLAGS_folder;
  settings.seed_ = FLAGS_seed;
  settings.gateways_ = FLAGS_gateways;
  settings.engines_ = FLAGS_engines;
  settings.callers_ = FLAGS_callers;
  settings.duration_ = static_cast<milliseconds>(FLAGS_seconds * ms_per_second);
  settings.accounts_ = FLAGS_accounts;
  settings.harmful_ = FLAGS_harmful || FLAGS_harmful_forms;
  settings.harmful_forms_ = FLAGS_harmful_forms;
  settings.large_inputs_ = FLAGS_large_inputs;
  settings.early_responses_ = FLAGS_early_responses;
  settings.process_faults_ = FLAGS_process_faults;
  settings.services_ = FLAGS_services;
  settings.faults_ = fault_set_of(FLAGS_faults).value_or(fault_set::usual);
  return settings;
}

/// One run from start to the last checks.
class soak_run {
 public:
  explicit soak_run(const soak_settings& settings) : settings_{settings} {}

  auto run() -> int {
    auto fleet = soak_fleet::create(loop_, settings_, ledger_);
    if (!ok(fleet)) {
      std::cerr << "the soak can't start: " << failure(fleet).detail_ << "\n";
      return 2;
    }
    fleet_ = std::move(value(fleet));
    schedule_ = std::make_unique<fault_schedule>(loop_, settings_, *fleet_, ledger_);
    callers_ = std::make_unique<soak_callers>(loop_, settings_, *fleet_, ledger_, [this](milliseconds since) {
      return schedule_->calm_since(since) && fleet_->last_end_at() + settings_.calm_ <= since;
    });
    harmful_ = std::make_unique<harmful_programs>(loop_, settings_, *fleet_, ledger_);
    start(loop_, "look_at_all", fleet_->look_at_all());
    start(loop_, "watch_processes", fleet_->watch_processes());
    start(loop_, "drive", drive());
    loop_.run();
    std::cout << "seed " << settings_.seed_ << ": " << ledger_.runs() << " requests ran, "
              << ledger_.whole_answers() << " whole answers, " << ledger_.refusals() << " refusals, "
              << callers_->kept().size() << " programs, " << ledger_.ended_upstreams() << " upstreams ended, "
              << ledger_.faults().size() << " broken promises\n";
    return unexpected_faults() == 0 && ledger_.whole_answers() > 0 ? 0 : 1;
  }

 private:
  /// Returns the number of broken promises other than the one that is known red.
  [[nodiscard]] auto unexpected_faults() const -> std::ptrdiff_t {
    const auto& faults = ledger_.faults();
    return std::count_if(faults.begin(), faults.end(), [](const std::string& fault) {
      return FLAGS_known_red.empty() || fault.rfind(FLAGS_known_red + ":", 0) != 0;
    });
  }

  auto await_ready() -> task<bool> {
    auto clock = steady_clock{};
    auto give_up = clock.now() + start_limit;
    auto all = false;
    while (!all && clock.now() < give_up) {
      co_await pause_for(loop_, look_ms);
      all = true;
      for (const auto& gateway : fleet_->gateways()) {
        all = all && gateway.ready_;
      }
    }
    co_return all;
  }

  /// After the last fault every kept turn must be there, and be served.
  auto check_kept_turns() -> task<> {
    const auto& kept = callers_->kept();
    auto first = kept.size() > most_last_turns ? kept.size() - most_last_turns : 0;
    for (auto at = first; at < kept.size(); ++at) {
      auto from = kept[at];
      auto served = co_await callers_->go_on_from(from, last_patience);
      if (!served) {
        ledger_.broken(promise::turn_is_kept, "nothing goes on from " + from.turn_);
      }
    }
  }

  auto drive() -> task<> {
    auto ready = co_await await_ready();
    if (!ready) {
      ledger_.broken(promise::change_in_force, "the gateways were not ready in time");
    }
    for (auto number = 0; number < settings_.callers_; ++number) {
      start(loop_, "run_programs", callers_->run_programs(number));
    }
    if (settings_.accounts_) {
      start(loop_, "run_spare_keys", callers_->run_spare_keys());
      start(loop_, "run_hot_account", callers_->run_hot_account());
    }
    if (settings_.harmful_) {
      harmful_->start_lines();
    }
    for (auto round = 0; round < FLAGS_rounds; ++round) {
      co_await schedule_->harm(settings_.duration_, *callers_);
      co_await schedule_->plan(*callers_);
    }
    co_await schedule_->kill_all();
    callers_->stop();
    harmful_->stop();
    while (callers_->running() > 0 || harmful_->running()) {
      co_await pause_for(loop_, look_ms);
    }
    co_await check_kept_turns();
    co_await fleet_->stop_all();
    ledger_.check_refusals();
    ledger_.check_allotment(soak_accounts::hot, soak_accounts::hot_window, soak_accounts::most_hot);
    loop_.stop();
  }

  soak_settings settings_;
  event_loop loop_{1};
  soak_ledger ledger_;
  std::unique_ptr<soak_fleet> fleet_;
  std::unique_ptr<fault_schedule> schedule_;
  std::unique_ptr<soak_callers> callers_;
  std::unique_ptr<harmful_programs> harmful_;
};

}  // namespace
}  // namespace birchlever::soak

auto main(int argc, char** argv) -> int {
  gflags::SetUsageMessage("runs gateways under faults and checks what callers and upstreams see");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (!birchlever::soak::fault_set_of(FLAGS_faults)) {
    std::cerr << "--faults must be usual, silent or usual_changes, not " << FLAGS_faults << "\n";
    return 2;
  }
  return birchlever::soak::soak_run{birchlever::soak::settings_from_flags()}.run();
}
