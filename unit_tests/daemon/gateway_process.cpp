#include "unit_tests/daemon/gateway_process.h"

#include <httplib.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace birchlever::test {
namespace {

constexpr auto networks = 250;
constexpr auto hosts = 250;
constexpr auto look_gap = std::chrono::milliseconds{10};
constexpr auto stop_limit = milliseconds{20000};

/// Addresses of processes that tests start at the same time differ.
auto next_ip() -> std::string {
  static auto made = 0;
  return "127.78." + std::to_string(getpid() % networks + 1) + "." + std::to_string(made++ % hosts + 1);
}

}  // namespace

auto tested_program() -> std::string {
  const auto* named = std::getenv("BIRCHLEVER_TESTED");
  auto own = std::filesystem::read_symlink("/proc/self/exe");
  return named != nullptr ? named : (own.parent_path() / "birchlever").string();
}

auto await(milliseconds limit, const std::function<bool()>& condition) -> bool {
  auto clock = steady_clock{};
  auto until = clock.now() + limit;
  auto holds = condition();
  while (!holds && clock.now() < until) {
    std::this_thread::sleep_for(look_gap);
    holds = condition();
  }
  return holds;
}

gateway_process::gateway_process() : ip_{next_ip()} {
  auto folder = std::filesystem::temp_directory_path() / ("birchlever-" + ip_);
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  folder_ = folder.string();
  write_settings(settings());
}

gateway_process::~gateway_process() {
  process_.reset();
  std::filesystem::remove_all(folder_);
}

auto gateway_process::settings() const -> std::string {
  auto text = std::ostringstream{};
  text << "# settings, ended by the line: # end of settings\n"
       << "--vm_id=edge-1\n--data_hall=hall-a\n--store_address=" << ip_ << ":9\n"
       << "--caller_address=" << ip_ << ":" << caller_port << "\n--readiness_address=" << ip_ << ":"
       << readiness_port << "\n--control_address=" << ip_ << ":" << control_port
       << "\n--peer_ports=" << peer_port << "," << peer_port + 9
       << "\n--stop_grace_s=8\n--memory_mb=" << memory_mb << "\n--spent_memory=1\n# end of settings\n";
  return text.str();
}

auto gateway_process::write_settings(const std::string& text) -> void {
  auto file = std::ofstream{settings_file()};
  file << text;
}

auto gateway_process::log_file() const -> std::string {
  return folder_ + "/gateway.log";
}

auto gateway_process::settings_file() const -> std::string {
  return folder_ + "/settings.flags";
}

auto gateway_process::start(const std::vector<std::string>& wrapper) -> void {
  auto command = test_processes::process_command{"gateway " + ip_, wrapper, log_file(), {}};
  command.words_.insert(command.words_.end(),
                        {tested_program(), "gateway", "--settings_file=" + settings_file()});
  auto started = test_processes::child_process::start(command);
  REQUIRE(ok(started));
  process_ = std::move(value(started));
}

auto gateway_process::await_open(milliseconds limit) -> bool {
  return await(limit, [this] { return process_->poll().has_value() || ask().first != 0; }) &&
         !process_->poll();
}

auto gateway_process::await_log(const std::string& text, milliseconds limit) -> bool {
  constexpr auto all_lines = std::size_t{1} << 20U;
  return await(limit, [&] { return process_->last_lines(all_lines).find(text) != std::string::npos; });
}

auto gateway_process::ask(const std::string& body) -> std::pair<int, std::string> {
  auto client = httplib::Client{ip_, caller_port};
  auto response = client.Post("/work", {{"X-Request-Id", "r1"}}, body, "text/plain");
  return response ? std::pair{response->status, response->body} : std::pair{0, std::string{}};
}

auto gateway_process::stop() -> std::optional<test_processes::process_end> {
  process_->signal(SIGTERM);
  return process_->wait(stop_limit);
}

}  // namespace birchlever::test
