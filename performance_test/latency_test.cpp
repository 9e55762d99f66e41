/// What the system adds to a call against calling the engine directly, and store writes a request.
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <iomanip>
#include <sstream>
#include <thread>

#include "birchlever/operators/statistics.h"
#include "performance_test/performance_tests.h"
#include "scenarios/test_fleet.h"

namespace birchlever::performance {
namespace {

using nlohmann::json;

constexpr auto calls = 200;
constexpr auto callers = 24;
constexpr auto calls_each = 40;
constexpr auto patience_ms = 5000;
constexpr auto most_added_first_ms = 25.0;  // A bound for busy machines; the target of 3 ms is in docs.

struct timing {
  double first_ms_ = 0;
  double whole_ms_ = 0;
  bool good_ = false;
};

auto ms_since(std::chrono::steady_clock::time_point began) -> double {
  return std::chrono::duration<double, std::milli>{std::chrono::steady_clock::now() - began}.count();
}

auto body_of(int number) -> std::string {
  return json{{"model", "standard"},
              {"stream", true},
              {"max_tokens", 10},
              {"answer_tokens", 10},
              {"messages", {{{"role", "user"}, {"content", "turn " + std::to_string(number)}}}}}
      .dump();
}

auto ask(httplib::Client& client, const httplib::Headers& headers, int number) -> timing {
  auto seen = timing{};
  auto began = std::chrono::steady_clock::now();
  auto request = httplib::Request{};
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = headers;
  request.body = body_of(number);
  request.set_header("Content-Type", "application/json");
  auto text = std::string{};
  request.content_receiver = [&](const char* bytes, std::size_t length, std::uint64_t, std::uint64_t) {
    if (seen.first_ms_ == 0) {
      seen.first_ms_ = ms_since(began);
    }
    text.append(bytes, length);
    return true;
  };
  auto answer = client.send(request);
  seen.whole_ms_ = ms_since(began);
  seen.good_ = answer && text.find("[DONE]") != std::string::npos;
  return seen;
}

auto headers_of(const std::string& program, int number) -> httplib::Headers {
  return {{"Authorization", "Bearer notary-key-1"},
          {"birchlever-program", program},
          {"birchlever-call", std::to_string(number)}};
}

/// As a caller does: a call that was refused (its owner was changing) is asked again. Times are of the last
/// try.
auto ask_until_good(httplib::Client& client, const std::string& program, int number,
                    std::atomic<int>& refused) -> timing {
  auto seen = timing{};
  (void)scenarios::eventually(patience_ms, [&] {
    seen = ask(client, headers_of(program, number), number);
    refused += seen.good_ ? 0 : 1;
    return seen.good_;
  });
  return seen;
}

auto line(std::ostringstream& text, const char* name, const std::vector<double>& direct,
          const std::vector<double>& through) -> void {
  for (auto share : {0.5, 0.95, 0.99}) {
    auto one = quantile_of(direct, share);
    auto other = quantile_of(through, share);
    text << "| " << name << " p" << static_cast<int>(share * 100) << " | " << one << " | " << other << " | "
         << other - one << " | " << other / one << " |\n";
  }
}

}  // namespace

auto test_latency(const test_settings& settings) -> bool {
  auto plan = scenarios::scenario{};
  plan.engines_ = 3;
  plan.settings_ = "--test_controls=0 --commit_gap_ms=40 --shard_count=6 --turn_limit=1000";
  auto fleet = scenarios::test_fleet{plan, 231, settings.binaries_, "/tmp", ""};
  if (!fleet.start()) {
    publish(settings, "latency", "the fleet did not get ready\n");
    return false;
  }
  auto direct_client = httplib::Client{fleet.engine_address(1).host_, fleet.engine_address(1).port_};
  auto client = httplib::Client{fleet.daemon_address(1).host_, fleet.daemon_address(1).port_};
  direct_client.set_keep_alive(true);
  direct_client.set_tcp_nodelay(true);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  auto first = std::array<std::vector<double>, 2>{};
  auto whole = std::array<std::vector<double>, 2>{};
  auto failed = 0;
  auto refused = std::atomic<int>{0};
  (void)ask_until_good(client, "latency", 1, refused);
  for (auto number = 2; number <= calls; ++number) {
    auto direct = ask(direct_client, {{"birchlever-session", "bench/direct"}}, number);
    auto through = ask_until_good(client, "latency", number, refused);
    failed += through.good_ ? 0 : 1;
    first[0].push_back(direct.first_ms_);
    first[1].push_back(through.first_ms_);
    whole[0].push_back(direct.whole_ms_);
    whole[1].push_back(through.whole_ms_);
  }
  auto counts_before = fleet.get_json(fleet.platform_address(), "/counts");
  auto began = std::chrono::steady_clock::now();
  auto threads = std::vector<std::thread>{};
  auto served = std::atomic<int>{0};
  for (auto caller = 0; caller < callers; ++caller) {
    threads.emplace_back([&, caller] {
      auto own = httplib::Client{fleet.daemon_address(1 + caller % 3).host_, fleet.daemon_address(1).port_};
      own.set_keep_alive(true);
      own.set_tcp_nodelay(true);
      for (auto number = 1; number <= calls_each; ++number) {
        auto program = "load-" + std::to_string(caller);
        served += ask_until_good(own, program, number, refused).good_ ? 1 : 0;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  auto seconds = ms_since(began) / 1000;
  auto counts_after = fleet.get_json(fleet.platform_address(), "/counts");
  auto writes = counts_after.value("writes", 0.0) - counts_before.value("writes", 0.0);
  auto text = std::ostringstream{};
  text << std::fixed << std::setprecision(2)
       << "| call of 10 tokens | direct ms | through birchlever ms | added ms | ratio "
          "|\n|---|---|---|---|---|\n";
  line(text, "first token", first[0], first[1]);
  line(text, "whole answer", whole[0], whole[1]);
  text << "\nCalls that failed: " << failed << " of " << calls - 1 << "; refused and asked again: " << refused
       << ". Under " << callers << " callers: " << served << " calls in " << seconds << " s, "
       << served / seconds << " calls/s, " << writes / served << " store writes a call, " << writes / seconds
       << " store writes/s.\n";
  publish(settings, "latency", text.str());
  auto added = quantile_of(first[1], 0.5) - quantile_of(first[0], 0.5);
  auto good =
      failed == 0 && served == callers * calls_each && added < most_added_first_ms && writes / served < 1.2;
  auto ran_on = fleet.all_run_on();
  return ran_on && (good || !settings.check_);
}

}  // namespace birchlever::performance
