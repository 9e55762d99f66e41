#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <thread>

namespace review {
namespace {

using json = nlohmann::json;

constexpr auto heartbeat_ms = std::int64_t{1200};  // As in the example of settings in DEPLOY.md.
constexpr auto idle_limit_ms = std::int64_t{60'000};
constexpr auto look_ms = std::int64_t{25};
constexpr auto call_ms = std::int64_t{800};
constexpr auto ready_limit_ms = std::int64_t{20'000};
constexpr auto command = "target/birchlever";  // deploy/system.toml, roles.gateway.run.
constexpr auto role = "gateway";               // Its only word.
constexpr auto settings_template = "deploy/gateway.flags";
constexpr auto peer_port_count = 15;  // As in the example of settings: 7380 to 7395.

auto replaced(std::string text, const std::string& gap, const std::string& content) -> std::string {
  for (auto at = text.find(gap); at != std::string::npos; at = text.find(gap)) {
    text.replace(at, gap.size(), content);
  }
  return text;
}

/// A prefix of loopback addresses that differs from process to process.
auto own_network() -> std::string {
  auto process = getpid();
  return "127." + std::to_string(10 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + ".";
}

}  // namespace

auto record::write(const std::string& line) -> void {
  auto guard = std::lock_guard{lock_};
  file_ << now_ms() - started_at_ << " ms  " << line << std::endl;
}

server::server(store& platform, std::string id, std::string service, int slots, handle_function handle)
    : platform_{&platform},
      id_{std::move(id)},
      service_{std::move(service)},
      slots_{slots},
      handle_{std::move(handle)},
      listener_{"127.0.0.1", [this](connection& caller) { serve(caller); }} {
  announce();
  std::thread{[this] {
    while (true) {
      sleep_ms(heartbeat_ms);
      announce();
    }
  }}.detach();
}

auto server::announce() -> void {
  platform_->put("servers", id_,
                 {{"service", service_},
                  {"address", listener_.address()},
                  {"zone", "zone-a"},
                  {"version", "1"},
                  {"slots", slots_},
                  {"state", "ready"},
                  {"cold_left_ms", 0},
                  {"sequence", ++sequence_}});
}

auto server::answer_headers(const message& request) const -> header_map {
  return {{"X-Request-Id", request.header("X-Request-Id")}, {"Keep-Alive", "timeout=30"}};
}

auto server::refusal(const message& request, int status) const -> std::string {
  auto headers = answer_headers(request);
  headers["X-Not-Executed"] = "1";
  return answer_bytes(status, headers, "");
}

auto server::serve(connection& caller) -> void {
  while (true) {
    auto request = caller.read_message(idle_limit_ms);
    if (!request) {
      return;
    }
    auto target = request->second_word();
    auto open = false;
    if (target == "/healthz") {
      open = caller.write(answer_bytes(200, {{"X-Instance-Id", id_}}, ""));
    } else if (target == "/birchlever/report") {
      open = caller.write(answer_bytes(200, {{"Content-Type", "application/json"}}, "{}"));
    } else if (request->header("X-Expect-Instance") != id_) {
      open = caller.write(refusal(*request, 421));
    } else {
      open = handle_(*request, caller);
    }
    if (!open) {
      return;
    }
  }
}

deployment::deployment(store& platform, deployment_settings settings)
    : platform_{&platform}, settings_{std::move(settings)} {
  auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    cannot_run("no temporary folder");
  }
  folder_ = pattern;
  for (auto number = std::size_t{0}; number < settings_.zones_.size(); ++number) {
    auto one = machine{own_network() + std::to_string(number + 1)};
    auto ports = free_ports(one.ip_, 4);
    one.front_ = ports[0];
    one.ready_ = ports[1];
    one.control_ = ports[2];
    one.peers_ = ports[3];
    machines_.push_back(std::move(one));
  }
}

deployment::~deployment() {
  for (auto number = 0; number < static_cast<int>(machines_.size()); ++number) {
    kill(number);
  }
  auto ignored = std::error_code{};  // The folder is temporary in any case.
  std::filesystem::remove_all(folder_, ignored);
}

auto deployment::front(int number) const -> std::string {
  const auto& one = machines_.at(static_cast<std::size_t>(number));
  return one.ip_ + ":" + std::to_string(one.front_);
}

auto deployment::write_settings(int number) -> std::string {
  const auto& one = machines_.at(static_cast<std::size_t>(number));
  const auto& zone = settings_.zones_.at(static_cast<std::size_t>(number));
  auto at = [&](int port) { return one.ip_ + ":" + std::to_string(port); };
  auto gaps = std::map<std::string, std::string>{
      {"{{node_name}}", "edge-" + zone + "-" + std::to_string(number + 1)},
      {"{{zone}}", zone},
      {"{{platform.address}}", platform_->address()},
      {"{{listen.front}}", at(one.front_)},
      {"{{listen.ready}}", at(one.ready_)},
      {"{{listen.control}}", at(one.control_)},
      {"{{port_range}}", std::to_string(one.peers_) + "," + std::to_string(one.peers_ + peer_port_count)},
      {"{{bounds.grace_s}}", "8"},
      {"{{bounds.config_apply_ms}}", settings_.accounts_ ? "3000" : "2000"},
      {"{{#bounds.quota_tolerance}}", ""},
      {"{{bounds.quota_tolerance}}", "20"},
      {"{{/bounds.quota_tolerance}}", ""},
      {"{{#bounds.revoke_ms}}", ""},
      {"{{bounds.revoke_ms}}", "5000"},
      {"{{/bounds.revoke_ms}}", ""},
      {"{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", "zone-a=region,zone-b=region,zone-c=region"},
      {"{{limits.cpu_share}}", "0.5"},
      {"{{platform.writes_per_s}}", "800"}};
  auto filled = std::ifstream{settings_template};
  auto file = folder_ + "/gateway-" + std::to_string(number) + ".flags";
  auto out = std::ofstream{file};
  for (auto line = std::string{}; std::getline(filled, line);) {
    if (!settings_.accounts_ && line.starts_with("{{#bounds.")) {
      continue;  // A deployment without client accounts doesn't give these bounds.
    }
    for (const auto& [gap, content] : gaps) {
      line = replaced(line, gap, content);
    }
    out << line << "\n";
  }
  return file;
}

auto deployment::start(int number) -> void {
  auto& one = machines_.at(static_cast<std::size_t>(number));
  auto settings = "BIRCHLEVER_BOOT=" + write_settings(number);
  auto log = folder_ + "/gateway-" + std::to_string(number) + ".log";
  auto path = std::string{"PATH=/usr/bin:/bin"};
  auto parent = getpid();
  auto child = fork();
  if (child < 0) {
    cannot_run("no new process");
  }
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(2);
    }
    auto descriptor = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(descriptor, STDOUT_FILENO);
    dup2(descriptor, STDERR_FILENO);
    auto program = std::string{command};
    auto word = std::string{role};
    auto words = std::array<char*, 3>{program.data(), word.data(), nullptr};
    auto variables = std::array<char*, 3>{settings.data(), path.data(), nullptr};
    execve(command, words.data(), variables.data());
    _exit(2);
  }
  one.process_ = child;
}

auto deployment::kill(int number) -> void {
  auto& one = machines_.at(static_cast<std::size_t>(number));
  if (one.process_ <= 0) {
    return;
  }
  ::kill(one.process_, SIGKILL);
  waitpid(one.process_, nullptr, 0);
  one.process_ = -1;
}

auto deployment::running(int number) -> bool {
  auto& one = machines_.at(static_cast<std::size_t>(number));
  if (one.process_ > 0 && waitpid(one.process_, nullptr, WNOHANG) == one.process_) {
    one.process_ = -1;
  }
  return one.process_ > 0;
}

auto deployment::start_all(int count) -> void {
  for (auto number = 0; number < count; ++number) {
    start(number);
  }
  for (auto number = 0; number < count; ++number) {
    if (!wait_ready(number, ready_limit_ms)) {
      cannot_run("a gateway was not ready");
    }
  }
}

auto deployment::wait_ready(int number, std::int64_t limit_ms) -> bool {
  const auto& one = machines_.at(static_cast<std::size_t>(number));
  auto address = one.ip_ + ":" + std::to_string(one.ready_);
  for (auto due = now_ms() + limit_ms; now_ms() < due; sleep_ms(look_ms)) {
    if (!running(number)) {
      start(number);  // As the platform does with a process that ended by itself.
    }
    auto channel = connection::open(address, call_ms);
    if (!channel || !channel->write("GET /birchlever/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")) {
      continue;
    }
    auto answer = channel->read_message(call_ms);
    if (answer && answer->status() == 200) {
      return true;
    }
  }
  return false;
}

auto route(const std::string& name, const std::string& type, const std::string& service, int timeout_ms,
           const json& further) -> json {
  auto made = json{{"name", name},
                   {"host", "review.example"},
                   {"path_prefix", "/" + name + "/"},
                   {"type", type},
                   {"service", service},
                   {"timeout_ms", timeout_ms},
                   {"max_attempts", 2},
                   {"slo_ms", 200},
                   {"gap_slo_ms", 400},
                   {"priority", 0}};
  made.update(further);
  return made;
}

auto configure(store& platform, const json& routes, const json& services, const json& tenants) -> void {
  auto config = json{{"version", 1},
                     {"routes", routes},
                     {"services", services},
                     {"limits",
                      {{"max_header_bytes", 16384},
                       {"max_body_bytes", 4194304},
                       {"header_timeout_ms", 3000},
                       {"idle_timeout_ms", 15000}}}};
  if (!tenants.is_null()) {
    config["tenants"] = tenants;
  }
  platform.put("op", "config", config);
}

auto with_trouble() -> bool {
  const auto* chosen = std::getenv("TROUBLE");
  return chosen == nullptr || std::string{chosen} != "0";
}

}  // namespace review
