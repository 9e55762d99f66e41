#include "soak/soak_fleet.h"

#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "birchlever/http/outgoing_connection.h"
#include "platform/names.h"
#include "soak/soak_accounts.h"

namespace birchlever::soak {
namespace {

using json = nlohmann::json;
namespace names = platform::names;

constexpr auto upstream_start_ms = milliseconds{300};   // From the end of an upstream to its successor.
constexpr auto upstream_lapse_ms = milliseconds{2000};  // Until the entry of one that ended is removed.
constexpr auto networks = 250;  // Of loopback addresses, one for each soak that runs at the same time.
constexpr auto store_port = 9000;
constexpr auto link_port = 9100;           // And upwards, one a gateway.
constexpr auto upstream_port = 9200;       // And upwards, one an upstream.
constexpr auto upstream_link_port = 9600;  // And upwards, one an upstream.
constexpr auto caller_port = 8080;
constexpr auto ready_port = 8081;
constexpr auto control_port = 8082;
constexpr auto peer_port = 8090;
constexpr auto first_gateway = 10;  // Last number of the first gateway's address.
constexpr auto stand_in_host = 1;
constexpr auto look_gap = milliseconds{1000};  // As the platform's balancer.
constexpr auto look_limit = milliseconds{800};
constexpr auto misses_until_out = 2;
constexpr auto process_look_gap = milliseconds{50};
constexpr auto looks_a_memory_check = 5;
constexpr auto ms_per_second = milliseconds{1000};
constexpr auto bytes_per_mb = std::size_t{1U << 20U};
constexpr auto stop_grace_s = 8;
constexpr auto engine_service = "engines";
constexpr auto plain_service = "tools";

auto route(const std::string& prefix, const std::string& type, const std::string& service) -> json {
  return {{"name", prefix}, {"host", "soak.example"}, {"path_prefix", prefix},
          {"type", type},   {"service", service},     {"timeout_ms", 4000},
          {"slo_ms", 200},  {"max_attempts", 2},      {"priority", 0}};
}

/// The accounts in a version of the configuration: each next one takes the spare key of the one before away.
auto accounts_of(int version) -> json {
  auto accounts = json::array();
  for (auto number = 0; number < static_cast<int>(soak_accounts::usual.size()); ++number) {
    auto owner = soak_accounts::of_caller(number);
    auto keys = json::array({owner.key_});
    if (soak_accounts::spare_key(version).account_ == owner.account_) {
      keys.push_back(soak_accounts::spare_key(version).key_);
    }
    accounts.push_back({{"name", owner.account_}, {"api_keys", keys}, {"priority", number % 2}});
  }
  auto hot = soak_accounts::of_hot();
  accounts.push_back({{"name", hot.account_},
                      {"api_keys", json::array({hot.key_})},
                      {"rate_per_s", soak_accounts::hot_allotment.rate_per_s_},
                      {"burst", soak_accounts::hot_allotment.burst_}});
  return accounts;
}

}  // namespace

soak_fleet::soak_fleet(event_loop& loop, const soak_settings& settings, soak_ledger& ledger)
    : loop_{&loop},
      settings_{settings},
      ledger_{&ledger},
      folder_{settings.folder_ + "/birchlever-soak-" + std::to_string(getpid())},
      rows_{std::make_shared<memory_row_store>(loop)} {}

soak_fleet::~soak_fleet() {
  for (const auto& gateway : gateways_) {
    kill_gateway(gateway.number_);
  }
}

auto soak_fleet::create(event_loop& loop, const soak_settings& settings, soak_ledger& ledger)
    -> result<std::unique_ptr<soak_fleet>> {
  auto made = std::unique_ptr<soak_fleet>{new soak_fleet{loop, settings, ledger}};
  auto opened = made->open();
  if (!ok(opened)) {
    return failure(opened);
  }
  return made;
}

auto soak_fleet::address(int last, int port) const -> std::string {
  return network_ + std::to_string(last) + ":" + std::to_string(port);
}

auto soak_fleet::caller_address(int number) const -> std::string {
  return address(first_gateway + number, caller_port);
}

auto soak_fleet::settings_file(int number) const -> std::string {
  return folder_ + "/gateway-" + std::to_string(number) + ".flags";
}

auto soak_fleet::open_store() -> status {
  auto last = error{};
  for (auto attempt = 0; attempt < networks; ++attempt) {
    network_ = "127.77." + std::to_string((getpid() + attempt) % networks + 1) + ".";
    auto store = row_store_server::create(*loop_, address(stand_in_host, store_port), rows_);
    if (ok(store)) {
      store_ = std::move(value(store));
      return success;
    }
    last = failure(store);  // Another soak's network: process ids of several may agree in their remainder.
  }
  return last;
}

auto soak_fleet::open() -> status {
  mkdir(folder_.c_str(), 0755);
  auto store = open_store();
  if (!ok(store)) {
    return store;
  }
  configure(1);
  for (auto number = 0; number < settings_.engines_ + settings_.services_; ++number) {
    auto added = add_upstream(number < settings_.engines_);
    if (!ok(added)) {
      return added;
    }
  }
  gateways_.resize(static_cast<std::size_t>(settings_.gateways_));
  for (auto number = 0; number < settings_.gateways_; ++number) {
    auto link = tcp_proxy::create(*loop_, address(stand_in_host, link_port + number),
                                  address(stand_in_host, store_port));
    if (!ok(link)) {
      return failure(link);
    }
    auto& gateway = gateways_[static_cast<std::size_t>(number)];
    gateway.number_ = number;
    gateway.store_link_ = value(link);
    change_settings(number);
    start_gateway(number);
  }
  return success;
}

auto soak_fleet::settings_text(int number) const -> std::string {
  auto text = std::ostringstream{};
  auto host = first_gateway + number;
  auto debug = gateways_[static_cast<std::size_t>(number)].debug_;
  text << "# settings, ended by the line: # end of settings\n--vm_id=gateway-" << number
       << "\n--data_hall=hall-" << number % 3
       << "\n--store_address=" << address(stand_in_host, link_port + number)
       << "\n--caller_address=" << address(host, caller_port)
       << "\n--readiness_address=" << address(host, ready_port)
       << "\n--control_address=" << address(host, control_port) << "\n--peer_ports=" << peer_port
       << "\n--revoke_ms=" << settings_.revoke_ << "\n--configuration_apply_ms=" << settings_.configuration_
       << "\n--stop_grace_s=" << stop_grace_s << "\n--memory_mb=" << soak_settings::memory_mb
       << "\n--log_level=" << (debug ? "debug" : "info") << "\n# end of settings\n";
  return text.str();
}

auto soak_fleet::write_settings(int number, double share) -> void {
  auto text = settings_text(number);
  auto file = std::ofstream{settings_file(number)};
  file << text.substr(0, static_cast<std::size_t>(share * static_cast<double>(text.size())));
}

auto soak_fleet::change_settings(int number) -> void {
  static auto changes = 0;
  gateways_[static_cast<std::size_t>(number)].debug_ = ++changes % 2 == 0;
  write_settings(number, 1);
}

auto soak_fleet::start_gateway(int number) -> void {
  auto& gateway = gateways_[static_cast<std::size_t>(number)];
  if (gateway.process_ && !check_end(gateway)) {
    return;
  }
  auto name = "gateway-" + std::to_string(number);
  auto command = test_processes::process_command{
      name,
      {settings_.binary_, "gateway", "--settings_file=" + settings_file(number)},
      folder_ + "/" + name + ".log",
      {}};
  auto started = test_processes::child_process::start(command);
  if (!ok(started)) {
    ledger_->broken(promise::process_runs_on, failure(started).detail_);
    return;
  }
  gateway.process_ = std::move(value(started));
  gateway.over_memory_ = false;
  gateway.answered_ = false;
  gateway.paused_ = false;
  gateway.stopping_since_ = 0;
}

auto soak_fleet::signal_gateway(int number, int signal) -> void {
  const auto& gateway = gateways_[static_cast<std::size_t>(number)];
  if (gateway.process_) {
    gateway.process_->signal(signal);
  }
}

auto soak_fleet::signal_if_answered(int number, int signal) -> void {
  if (gateways_[static_cast<std::size_t>(number)].answered_) {
    signal_gateway(number, signal);
  }
}

auto soak_fleet::check_memory(gateway_process& gateway) -> void {
  auto peak = gateway.process_ ? gateway.process_->peak_memory() : 0;
  auto over = peak > soak_settings::memory_mb * bytes_per_mb;
  if (over && !std::exchange(gateway.over_memory_, true)) {
    ledger_->broken(promise::memory_holds, gateway.process_->name() + " took " + std::to_string(peak) +
                                               " bytes, " + std::to_string(soak_settings::memory_mb) +
                                               " MB are allowed");
  }
}

auto soak_fleet::check_end(gateway_process& gateway) -> bool {
  auto unasked = gateway.process_->unasked_end();
  if (unasked) {
    ledger_->broken(promise::process_runs_on, *unasked);
  }
  auto ended = gateway.process_->poll().has_value();
  if (ended) {
    gateway.process_.reset();
  }
  return ended;
}

auto soak_fleet::kill_gateway(int number) -> void {
  auto& gateway = gateways_[static_cast<std::size_t>(number)];
  if (!gateway.process_) {
    return;
  }
  gateway.process_->kill();
  check_end(gateway);
  gateway.stopping_since_ = 0;
}

auto soak_fleet::reap(int number) -> bool {
  auto& gateway = gateways_[static_cast<std::size_t>(number)];
  return !gateway.process_ || check_end(gateway);
}

auto soak_fleet::watch_processes() -> task<> {
  for (auto look = 0; true; ++look) {
    for (auto& gateway : gateways_) {
      if (look % looks_a_memory_check == 0) {
        check_memory(gateway);
      }
      auto stopping = gateway.stopping_since_ != 0;
      if (!stopping && gateway.process_ && check_end(gateway)) {
        start_gateway(gateway.number_);
      }
    }
    co_await pause_for(*loop_, process_look_gap);
  }
}

auto soak_fleet::stop_all() -> task<> {
  auto clock = steady_clock{};
  auto until = clock.now() + stop_grace_s * ms_per_second;
  auto running = static_cast<int>(gateways_.size());
  for (auto& gateway : gateways_) {
    gateway.stopping_since_ = clock.now();
    signal_gateway(gateway.number_, SIGTERM);
  }
  while (running > 0 && clock.now() < until) {
    co_await pause_for(*loop_, process_look_gap);
    running = 0;
    for (auto& gateway : gateways_) {
      running += reap(gateway.number_) ? 0 : 1;
    }
  }
  if (running > 0) {
    ledger_->broken(promise::planned_stop_cuts_nothing,
                    std::to_string(running) + " gateways did not end within their grace period");
  }
}

auto soak_fleet::look_at(gateway_process& gateway) -> task<> {
  auto parsed = parse_address(address(first_gateway + gateway.number_, ready_port));
  auto asked = gateway.process_ ? gateway.process_->pid() : 0;
  auto opened = co_await outgoing_connection::open(*loop_, value(parsed), look_limit);
  auto good = false;
  if (auto* connection = std::get_if<std::shared_ptr<outgoing_connection>>(&opened)) {
    auto request = std::make_shared<http_request>(http::verb::get, names::readiness_path, 11);
    request->set(http::field::host, "balancer");
    (*connection)->send(request, look_limit);
    auto head = co_await (*connection)->read_head();
    const auto* answer = std::get_if<http_response>(&head);
    good = answer != nullptr && answer->result() == http::status::ok;
    auto same_process = gateway.process_ && gateway.process_->pid() == asked;
    gateway.answered_ = gateway.answered_ || (answer != nullptr && same_process);
    (*connection)->abort();
  }
  gateway.misses_ = good ? 0 : gateway.misses_ + 1;
  gateway.ready_ = good || (gateway.ready_ && gateway.misses_ < misses_until_out);
}

auto soak_fleet::look_at_all() -> task<> {
  while (true) {
    for (auto& gateway : gateways_) {
      start(*loop_, "look_at", look_at(gateway));
    }
    co_await pause_for(*loop_, look_gap);
  }
}

auto soak_fleet::pick_gateway(std::uint64_t draw) const -> int {
  auto in = std::vector<int>{};
  for (const auto& gateway : gateways_) {
    if (gateway.ready_) {
      in.push_back(gateway.number_);
    }
  }
  if (2 * in.size() < gateways_.size()) {
    return static_cast<int>(draw % gateways_.size());  // As the platform: below half it uses them all.
  }
  return in[draw % in.size()];
}

auto soak_fleet::add_upstream(bool engine) -> status {
  auto number = made_upstreams_++;
  auto identity = upstream_identity{(engine ? "engine-" : "tool-") + std::to_string(number),
                                    engine ? engine_service : plain_service,
                                    address(stand_in_host, upstream_port + number), engine};
  identity.listed_address_ = identity.address_;
  if (settings_.faults_ != fault_set::usual) {
    auto listed = add_link(number, identity.address_);
    if (!ok(listed)) {
      return failure(listed);
    }
    identity.listed_address_ = value(listed);
  }
  auto made = upstream_stand_in::create(*loop_, identity, *ledger_, settings_.seed_ + 1000U + number);
  if (!ok(made)) {
    return failure(made);
  }
  value(made)->on_ended([this, identity] { start(*loop_, "replace_upstream", replace_upstream(identity)); });
  upstreams_.push_back(std::move(value(made)));
  list_upstream(identity, false);
  return success;
}

auto soak_fleet::replace_upstream(upstream_identity ended) -> task<> {
  last_end_at_ = steady_clock{}.now();
  co_await pause_for(*loop_, upstream_start_ms);
  auto added = add_upstream(ended.engine_);
  if (!ok(added)) {
    ledger_->broken(promise::crashes_are_bounded,
                    "the soak can't start an upstream: " + failure(added).detail_);
  }
  co_await pause_for(*loop_, upstream_lapse_ms);
  unlist_upstream(ended.id_);
}

auto soak_fleet::add_link(int upstream, const std::string& target) -> result<std::string> {
  auto listed = address(stand_in_host, upstream_link_port + upstream);
  auto link = tcp_proxy::create(*loop_, listed, target);
  if (!ok(link)) {
    return failure(link);
  }
  upstream_links_.push_back(value(link));
  return listed;
}

auto soak_fleet::list_upstream(const upstream_identity& identity, bool leaving) -> void {
  auto entry = json{{"service", identity.service_},
                    {"address", identity.listed_address_},
                    {"zone", "hall-0"},
                    {"version", "1"},
                    {"slots", 16},
                    {"state", leaving ? "draining" : "ready"},
                    {"cold_left_ms", 0},
                    {"sequence", 1}};
  rows_->put({names::upstream_table, "", identity.id_}, entry.dump());
}

auto soak_fleet::unlist_upstream(const std::string& id) -> void {
  rows_->remove({names::upstream_table, "", id});
}

auto soak_fleet::configure(int version) -> void {
  auto turns = route("/turn/", "streaming", engine_service);
  turns["retained"] = true;
  turns["retention_s"] = 60;
  auto routes =
      json::array({turns, route("/brief/", "streaming", engine_service),
                   route("/safe/", "safe", plain_service), route("/once/", "unsafe", plain_service)});
  for (auto extra = 2; extra <= version; ++extra) {
    routes.push_back(route("/extra-" + std::to_string(extra) + "/", "safe", plain_service));
  }
  auto engines =
      json{{"name", engine_service},
           {"health_path", "/healthz"},
           {"max_conns", 200},
           {"engine",
            {{"slots", 16}, {"kv_capacity", 200000}, {"chunk_tokens", upstream_stand_in::tokens_per_event}}}};
  auto tools = json{{"name", plain_service}, {"health_path", "/healthz"}, {"max_conns", 200}};
  auto whole = json{{"version", version}, {"routes", routes}, {"services", json::array({engines, tools})}};
  if (settings_.accounts_) {
    whole["tenants"] = accounts_of(version);
  }
  rows_->put({names::operator_table, "", names::configuration_key}, whole.dump());
  if (version > 1 && settings_.accounts_) {
    ledger_->revoked(soak_accounts::spare_key(version - 1).key_, settings_.revoke_);
  }
  version_ = version;
}

}  // namespace birchlever::soak
