#include "scenarios/test_fleet.h"

#include <signal.h>

#include <cstring>
#include <iostream>
#include <sstream>

#include "birchlever/core/hashing.h"

namespace birchlever::scenarios {
namespace {

using nlohmann::json;

constexpr auto http_port = 8080;
constexpr auto peer_port = 8081;
constexpr auto stand_in_port = 9000;
constexpr auto shard_count = 6;
constexpr auto operator_key = "operator-key-1";
constexpr auto ready_ms = 15000;
const auto halls = std::vector<std::string>{"montevideo-a", "montevideo-b", "canelones"};

auto hall_of(int index) -> std::string {
  return halls[static_cast<std::size_t>(index - 1) % halls.size()];
}

auto flag(const std::string& name, const std::string& content) -> std::string {
  return "--" + name + "=" + content;
}

}  // namespace

test_fleet::test_fleet(const scenario& plan, int number, std::string binaries, std::string logs,
                       std::string without)
    : plan_{plan},
      network_{"127.0." + std::to_string(number) + "."},
      binaries_{std::move(binaries)},
      logs_{std::move(logs)},
      without_{std::move(without)},
      pool_{value(http_connection_pool::create(http_pool_settings{500, 8000, 4}))} {}

test_fleet::~test_fleet() = default;

auto test_fleet::daemon_address(int index) const -> endpoint {
  return {network_ + std::to_string(10 + index), http_port};
}

auto test_fleet::peer_address(int index) const -> std::string {
  return network_ + std::to_string(10 + index) + ":" + std::to_string(peer_port);
}

auto test_fleet::engine_address(int index) const -> endpoint {
  return {network_ + std::to_string(100 + index), stand_in_port};
}

auto test_fleet::service_address() const -> endpoint {
  return {network_ + "99", stand_in_port};
}

auto test_fleet::platform_address() const -> endpoint {
  return {network_ + "1", stand_in_port};
}

auto test_fleet::spawn(const std::string& name, std::vector<std::string> arguments) -> process {
  auto command = test_processes::process_command{name, std::move(arguments), logs_ + "/" + name + ".log", {}};
  auto started = test_processes::child_process::start(command);
  if (!ok(started)) {
    unasked_ends_.push_back(failure(started).detail_);
    return nullptr;
  }
  return std::move(value(started));
}

auto test_fleet::check_end(test_processes::child_process& checked) -> void {
  auto unasked = checked.unasked_end();
  if (unasked) {
    unasked_ends_.push_back(*unasked);
  }
}

auto test_fleet::unasked_ends() -> std::vector<std::string> {
  for (const auto& [index, daemon] : daemons_) {
    check_end(*daemon);
  }
  for (const auto& stand_in : stand_ins_) {
    check_end(*stand_in);
  }
  return std::exchange(unasked_ends_, {});
}

auto test_fleet::all_run_on() -> bool {
  auto ends = unasked_ends();
  for (const auto& end : ends) {
    std::cerr << "a process ended by itself: " << end << "\n";
  }
  return ends.empty();
}

auto test_fleet::list(const json& entry) -> void {
  post(platform_address(), "/vms", entry);
}

auto test_fleet::get_json(const endpoint& target, const std::string& path) -> json {
  auto answer = pool_->request(target, "GET", path, "");
  return ok(answer) ? json::parse(value(answer).body_, nullptr, false) : json{};
}

auto test_fleet::post(const endpoint& target, const std::string& path, const json& body)
    -> buffered_response {
  auto answer = pool_->request(target, "POST", path, body.dump());
  return ok(answer) ? value(answer) : buffered_response{};
}

auto test_fleet::start() -> bool {
  auto stand_in = [&](const std::string& role, const std::string& id, const endpoint& at,
                      std::vector<std::string> extra) {
    auto arguments = std::vector<std::string>{binaries_ + "/stand_ins", role, flag("host", at.host_),
                                              flag("port", std::to_string(at.port_)), flag("id", id)};
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    auto started = spawn(id, std::move(arguments));
    if (!started) {
      return false;
    }
    stand_ins_.push_back(std::move(started));
    return eventually(ready_ms, [&] { return get_json(at, "/healthz").is_object(); });
  };
  auto up = stand_in("platform", "platform", platform_address(), {"--list_lag_ms=200"});
  auto fence = std::string{plan_.checks_fence_ ? "--checks_fence=true" : "--checks_fence=false"};
  auto keys = std::string{plan_.knows_keys_ ? "--knows_keys=true" : "--knows_keys=false"};
  up = up && stand_in("service", "registry-1", service_address(), {keys});
  list({{"id", "registry-1"},
        {"kind", "service"},
        {"service", "registry"},
        {"host", service_address().host_},
        {"port", stand_in_port},
        {"data_hall", halls.front()}});
  for (auto index = 1; index <= plan_.engines_; ++index) {
    auto id = "engine-" + std::to_string(index);
    up = up && stand_in("engine", id, engine_address(index), {fence});
    list({{"id", id},
          {"kind", "engine"},
          {"host", engine_address(index).host_},
          {"port", stand_in_port},
          {"data_hall", hall_of(index)},
          {"models", {"standard"}},
          {"checks_fence", plan_.checks_fence_}});
  }
  for (auto index = 1; index <= plan_.daemons_; ++index) {
    start_daemon(index);
  }
  for (auto index = 1; index <= plan_.daemons_; ++index) {
    up = up && await_ready(index);
  }
  up = up && await_owners(15);
  up = up &&
       eventually(5000, [&] { return operate(1, "set account notary key 'notary-key-1'").status_ == 200; });
  up = up && eventually(5000, [&] {
         return operate(1, "set account fiduciary key 'fiduciary-key-1'").status_ == 200;
       });
  return up;
}

auto test_fleet::start_daemon(int index) -> void {
  auto id = "daemon-" + std::to_string(index);
  auto host = daemon_address(index).host_;
  auto platform = platform_address().text();
  auto arguments = std::vector<std::string>{binaries_ + "/birchlever",
                                            "serve",
                                            flag("listen_address", host),
                                            flag("http_port", std::to_string(http_port)),
                                            flag("peer_port", std::to_string(peer_port)),
                                            flag("data_hall", hall_of(index)),
                                            flag("vm_id", id),
                                            flag("store_address", platform),
                                            flag("vm_list_address", platform),
                                            "--fleet_keys=fleet-key-1",
                                            flag("operator_keys", operator_key),
                                            flag("shard_count", std::to_string(shard_count)),
                                            "--lease_ms=1500",
                                            "--lease_margin_ms=300",
                                            "--lease_renew_ms=400",
                                            "--poll_ms=250",
                                            "--configuration_bound_ms=3000",
                                            "--commit_gap_ms=10",
                                            "--send_within_ms=400",
                                            "--sweep_ms=1500",
                                            "--snapshot_rows=60",
                                            "--http_threads=64",
                                            "--test_controls=1",
                                            flag("test_without", without_)};
  auto extra = std::istringstream{plan_.settings_};
  for (auto one = std::string{}; extra >> one;) {
    arguments.push_back(one);
  }
  auto started = spawn(id, std::move(arguments));
  if (!started) {
    return;
  }
  if (daemons_.count(index) != 0) {
    check_end(*daemons_[index]);
  }
  daemons_[index] = std::move(started);
  list({{"id", id},
        {"kind", "daemon"},
        {"host", host},
        {"port", peer_port},
        {"data_hall", hall_of(index)},
        {"leaving", false}});
}

auto test_fleet::signal_daemon(int index, int signal) -> void {
  auto found = daemons_.find(index);
  if (found == daemons_.end()) {
    return;
  }
  if (signal == SIGKILL) {
    found->second->kill();
    check_end(*found->second);
    daemons_.erase(found);
    post(platform_address(), "/vms/remove", {{"id", "daemon-" + std::to_string(index)}});
    return;
  }
  found->second->signal(signal);
  if (signal == SIGTERM) {
    list({{"id", "daemon-" + std::to_string(index)}, {"leaving", true}});
  }
}

auto test_fleet::await_exit(int index, int seconds) -> int {
  auto found = daemons_.find(index);
  if (found == daemons_.end()) {
    return -1;
  }
  auto ended = found->second->wait(seconds * 1000);
  if (!ended) {
    return -1;
  }
  check_end(*found->second);
  daemons_.erase(found);
  post(platform_address(), "/vms/remove", {{"id", "daemon-" + std::to_string(index)}});
  return ended->signal_ == 0 ? ended->exit_code_ : 128 + ended->signal_;
}

auto test_fleet::await_ready(int index) -> bool {
  return eventually(ready_ms, [&] {
    auto body = get_json(daemon_address(index), "/readyz");
    return body.is_object() && body.value("ready", false);
  });
}

auto test_fleet::await_owners(int seconds) -> bool {
  return eventually(seconds * 1000, [&] {
    for (auto index = 1; index <= plan_.daemons_; ++index) {
      auto answer = operate(index, "show shards");
      auto body = json::parse(answer.body_, nullptr, false);
      if (answer.status_ == 200 && body.is_object() && body["rows"].size() == shard_count) {
        return true;
      }
    }
    return false;
  });
}

auto test_fleet::owner_of(const std::string& account, const std::string& program) -> int {
  auto shard = shard_of(account, program, shard_count);
  for (auto index = 1; index <= plan_.daemons_; ++index) {
    auto answer = operate(index, "show shards where shard = " + std::to_string(shard));
    auto body = json::parse(answer.body_, nullptr, false);
    if (answer.status_ == 200 && body.is_object() && !body["rows"].empty()) {
      return std::atoi(body["rows"][0].value("daemon", "daemon-0").substr(std::strlen("daemon-")).c_str());
    }
  }
  return 0;
}

auto test_fleet::set_fault(const std::string& kind, int index, const std::string& name, double level)
    -> void {
  auto target = kind == "engine"    ? engine_address(index)
                : kind == "service" ? service_address()
                                    : platform_address();
  post(target, "/control", {{name, level}});
}

auto test_fleet::set_link(int daemon, const std::string& target, const std::string& state) -> void {
  (void)pool_->request(daemon_address(daemon), "POST", "/test/link",
                       json{{"target", target}, {"state", state}}.dump(),
                       {{"Authorization", std::string{"Bearer "} + operator_key}});
}

auto test_fleet::leave_engine(int index) -> void {
  list({{"id", "engine-" + std::to_string(index)}, {"leaving", true}});
}

auto test_fleet::operate(int daemon, const std::string& statement) -> buffered_response {
  auto answer = pool_->request(daemon_address(daemon), "POST", "/v1/operate", statement,
                               {{"Authorization", std::string{"Bearer "} + operator_key}});
  return ok(answer) ? value(answer) : buffered_response{};
}

}  // namespace birchlever::scenarios
