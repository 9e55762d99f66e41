/// The one binary: `serve`, `gateway`, `query`, `check-config`, `losses` and `version`.
#include <gflags/gflags.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>

#include "birchlever/core/daemon_settings.h"
#include "birchlever/http/bind_failure.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/loss_ledger.h"
#include "birchlever_daemon/daemon.h"
#include "birchlever_daemon/gateway_daemon.h"
#include "birchlever_daemon/gateway_flags.h"
#include "birchlever_daemon/operator_client.h"
#include "birchlever_daemon/process_descriptors.h"
#include "birchlever_daemon/process_memory.h"
#include "birchlever_daemon/process_signals.h"
#include "birchlever_daemon/settings_file.h"
#include "birchlever_daemon/start_wait.h"
#include "platform/settings_location.h"

#define NUMBER_SETTING(name, standard, least, most, unit, purpose) DEFINE_int64(name, standard, purpose);
#define TEXT_SETTING(name, standard, shape, purpose) DEFINE_string(name, standard, purpose);
#define SECRET_SETTING(name, purpose) DEFINE_string(name, "", purpose);
#include "birchlever/core/settings.def"
#undef NUMBER_SETTING
#undef TEXT_SETTING
#undef SECRET_SETTING

DEFINE_string(daemon, "127.0.0.1:8080", "HTTP address of any daemon, for query");
DEFINE_string(settings_file, "", "flag file of the gateway; the platform's own when empty");
DEFINE_string(format, "table", "answers of query: table or json");
DEFINE_string(plot, "", "file for a plot of `compare policies` (SVG), for query");
DEFINE_string(csv, "", "file for the rows as CSV, for query");

namespace {

constexpr auto exit_good = 0;
constexpr auto exit_failed = 1;
constexpr auto exit_usage = 2;
constexpr auto exit_calls_cut = 3;

auto usage() -> std::string {
  return "birchlever: a scheduler for agent programs\n"
         "\n"
         "  birchlever serve [settings]                 run a daemon until SIGTERM or SIGINT\n"
         "  birchlever gateway [settings]               serve callers on the platform until SIGTERM or "
         "SIGINT\n"
         "  birchlever check-config [gateway] [...]     check the settings and print every fault\n"
         "  birchlever query --daemon=ip:port [TEXT]    run a statement, or a prompt without TEXT\n"
         "  birchlever losses [FILE]                    where requests were lost, out of gateways' logs\n"
         "  birchlever version                          print the version\n"
         "  birchlever --help                           print this page with all settings\n"
         "\n"
         "Exit codes: 0 good, 1 failed, 2 wrong usage or settings, 3 stopped with calls still under way.\n"
         "Every setting is a flag --name=value or an environment variable BIRCHLEVER_NAME.\n"
         "\n"
         "Settings:\n" +
         birchlever::describe_settings() + "\nSettings of a gateway:\n" +
         birchlever::describe_gateway_settings();
}

auto read_settings(std::vector<birchlever::setting_error>& faults) -> birchlever::daemon_settings {
  auto settings = birchlever::daemon_settings{};
#define NUMBER_SETTING(name, standard, least, most, unit, purpose) \
  birchlever::take_from_environment(#name, faults);                \
  settings.name##_ = FLAGS_##name;
#define TEXT_SETTING(name, standard, shape, purpose) \
  birchlever::take_from_environment(#name, faults);  \
  settings.name##_ = FLAGS_##name;
#define SECRET_SETTING(name, purpose)               \
  birchlever::take_from_environment(#name, faults); \
  settings.name##_ = FLAGS_##name;
#include "birchlever/core/settings.def"
#undef NUMBER_SETTING
#undef TEXT_SETTING
#undef SECRET_SETTING
  return settings;
}

auto report(const std::vector<birchlever::setting_error>& faults) -> int {
  for (const auto& fault : faults) {
    std::cerr << "setting " << fault.name_ << " = '" << fault.value_ << "': " << fault.reason_ << '\n';
  }
  return exit_usage;
}

/// Fails with address_unavailable while a port of the daemon is held.
auto check_ports(const birchlever::daemon_settings& settings) -> birchlever::status {
  for (auto port : {settings.http_port_, settings.peer_port_}) {
    auto address = birchlever::parse_address(settings.listen_address_ + ":" + std::to_string(port));
    auto free = birchlever::ok(address) ? birchlever::check_bindable(birchlever::value(address))
                                        : birchlever::status{birchlever::failure(address)};
    if (!birchlever::ok(free)) {
      return free;
    }
  }
  return birchlever::success;
}

auto start_daemon(const birchlever::daemon_settings& settings)
    -> birchlever::result<std::unique_ptr<birchlever::daemon>> {
  auto free = check_ports(settings);
  if (!birchlever::ok(free)) {
    return birchlever::failure(free);
  }
  return birchlever::daemon::create(settings);
}

auto serve() -> int {
  auto faults = std::vector<birchlever::setting_error>{};
  auto settings = read_settings(faults);
  auto more = birchlever::check_settings(settings);
  faults.insert(faults.end(), more.begin(), more.end());
  if (!faults.empty()) {
    return report(faults);
  }
  birchlever::start_log(settings.vm_id_.empty() ? "birchlever" : settings.vm_id_,
                        birchlever::level_of(settings.log_level_));
  auto wait = birchlever::start_wait{};
  auto running = start_daemon(settings);
  while (!birchlever::ok(running)) {
    auto step = wait.after(birchlever::failure(running));
    if (step != birchlever::start_step::retry) {
      return step == birchlever::start_step::stopped ? exit_good : exit_usage;
    }
    running = start_daemon(settings);
  }
  wait.report_success();
  birchlever::await_stop_request();
  return birchlever::value(running)->stop() ? exit_good : exit_calls_cut;
}

/// Serves callers on the platform. Its settings file is named by the platform, or by --settings_file.
auto gateway_file() -> std::string {
  return FLAGS_settings_file.empty() ? birchlever::platform::settings_path() : FLAGS_settings_file;
}

/// Waits until the settings file is whole, and returns its text. A second reading could find another one.
auto await_settings_file(birchlever::start_wait& wait, std::string& whole) -> birchlever::start_step {
  auto file = gateway_file();
  while (!file.empty()) {
    auto text = birchlever::read_settings_file(file);
    if (birchlever::ok(text)) {
      whole = std::move(birchlever::value(text));
      break;
    }
    auto step = wait.after(birchlever::failure(text));
    if (step != birchlever::start_step::retry) {
      return step;
    }
  }
  return birchlever::start_step::retry;
}

/// Opens a gateway as soon as its addresses are free. Null if the start failed or was given up.
auto open_gateway(const birchlever::gateway_settings& settings, const std::string& text,
                  birchlever::start_wait& wait, birchlever::start_step& step)
    -> std::unique_ptr<birchlever::gateway_daemon> {
  step = birchlever::start_step::retry;
  while (step == birchlever::start_step::retry) {
    auto opened = birchlever::gateway_daemon::create(settings, gateway_file(), text);
    if (birchlever::ok(opened)) {
      wait.report_success();
      return std::move(birchlever::value(opened));
    }
    step = wait.after(birchlever::failure(opened));
  }
  return nullptr;
}

auto gateway() -> int {
  birchlever::start_log("birchlever", birchlever::log_level::info);  // Until the settings are known.
  auto wait = birchlever::start_wait{};
  auto text = std::string{};
  auto step = await_settings_file(wait, text);
  if (step != birchlever::start_step::retry) {
    return step == birchlever::start_step::stopped ? exit_good : exit_usage;
  }
  auto faults = std::vector<birchlever::setting_error>{};
  auto settings = birchlever::read_gateway_settings(text, gateway_file(), faults);
  auto more = birchlever::check_settings(settings);
  faults.insert(faults.end(), more.begin(), more.end());
  if (!faults.empty()) {
    return report(faults);
  }
  birchlever::start_log(settings.vm_id_.empty() ? "birchlever" : settings.vm_id_,
                        birchlever::level_of(settings.log_level_));
  auto running = open_gateway(settings, text, wait, step);
  if (!running) {
    return step == birchlever::start_step::stopped ? exit_good : exit_usage;
  }
  birchlever::deliver_signals();
  auto finished = running->run();
  birchlever::hold_signals();
  return finished ? exit_good : exit_calls_cut;
}

auto check_gateway_config() -> int {
  auto faults = std::vector<birchlever::setting_error>{};
  auto file = gateway_file();
  auto text =
      file.empty() ? birchlever::result<std::string>{std::string{}} : birchlever::read_settings_file(file);
  if (!birchlever::ok(text)) {
    return report({{"settings file", file, birchlever::failure(text).detail_}});
  }
  auto more =
      birchlever::check_settings(birchlever::read_gateway_settings(birchlever::value(text), file, faults));
  faults.insert(faults.end(), more.begin(), more.end());
  if (!faults.empty()) {
    return report(faults);
  }
  std::cout << "settings are good\n";
  return exit_good;
}

auto check_config() -> int {
  auto faults = std::vector<birchlever::setting_error>{};
  auto more = birchlever::check_settings(read_settings(faults));
  faults.insert(faults.end(), more.begin(), more.end());
  if (!faults.empty()) {
    return report(faults);
  }
  std::cout << "settings are good\n";
  return exit_good;
}

auto query(const std::string& text) -> int {
  auto faults = std::vector<birchlever::setting_error>{};
  auto settings = read_settings(faults);
  auto keys = birchlever::split_list(settings.operator_keys_);
  if (keys.empty()) {
    std::cerr << "setting operator_keys: query needs an operator's key\n";
    return exit_usage;
  }
  auto client = birchlever::operator_client{FLAGS_daemon, keys.front(), FLAGS_format, FLAGS_plot, FLAGS_csv};
  if (text.empty()) {
    return client.prompt() ? exit_good : exit_failed;
  }
  return client.run(text) ? exit_good : exit_failed;
}

/// Reads log lines from a file, or from standard input when none is named.
auto losses(const std::string& file) -> int {
  auto opened = std::ifstream{file};
  if (!file.empty() && !opened) {
    std::cerr << "losses: " << file << " can't be read\n";
    return exit_failed;
  }
  auto& lines = file.empty() ? std::cin : opened;
  auto ledger = birchlever::loss_ledger{};
  for (auto line = std::string{}; std::getline(lines, line);) {
    ledger.take(line);
  }
  std::cout << ledger.to_text();
  return exit_good;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto command = argc > 1 ? std::string{argv[1]} : std::string{};
  if (command == "serve" || command == "gateway") {
    birchlever::reserve_standard_descriptors();
    birchlever::prepare_signals();
    birchlever::report_fatal_signals();
    birchlever::return_large_blocks();
  }
  for (auto index = 1; index < argc; ++index) {
    if (std::string{argv[index]} == "--help") {
      std::cout << usage();
      return exit_good;
    }
  }
  gflags::SetVersionString(BIRCHLEVER_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto text = std::string{};
  for (auto index = 2; index < argc; ++index) {
    text += (index > 2 ? " " : "") + std::string{argv[index]};
  }
  if (command == "serve") {
    return serve();
  }
  if (command == "gateway") {
    return gateway();
  }
  if (command == "check-config") {
    return text == "gateway" ? check_gateway_config() : check_config();
  }
  if (command == "query") {
    return query(text);
  }
  if (command == "losses") {
    return losses(text);
  }
  if (command == "version") {
    std::cout << "birchlever " BIRCHLEVER_VERSION "\n";
    return exit_good;
  }
  std::cerr << usage();
  return exit_usage;
}
