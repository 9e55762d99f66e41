/// A small deployment: store, configuration, engines and gateways on loopback addresses.
#pragma once

#include "engine.h"

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "engine.h"
#include "gateway.h"
#include "store.h"

namespace review {

/// Settings of a deployment.
struct deployment_settings {
  int gateways_ = 2;
  int spare_gateways_ = 0;  ///< Further ones, which the case starts itself.
  int engines_ = 3;
  int tools_ = 2;
  std::string gateway_lines_;  ///< Further lines of their settings.
};

/// Everything that a case starts. Ends its processes when it goes.
class deployment {
 public:
  explicit deployment(const deployment_settings& settings) : settings_{settings} {
    auto name = std::string{"/tmp/birchlever-review-XXXXXX"};
    folder_ = mkdtemp(name.data());
    open_store();
    for (auto number = 0; number < settings.engines_ + settings.tools_; ++number) {
      auto service = number < settings.engines_ ? "engines" : "tools";
      auto id = std::string{"i-"} + service + std::to_string(number);
      engines_.push_back(std::make_unique<engine>(id, service, network_ + "1", first_engine_port + number,
                                                  runs_, number % 2 == 0 ? "zone-a" : "zone-b"));
      engines_.back()->list(*rows_);
    }
    configure(configuration(1));
    for (auto number = 0; number < settings.gateways_ + settings.spare_gateways_; ++number) {
      gateways_.push_back(std::make_unique<gateway>(number, network_ + std::to_string(first_gateway + number),
                                                    network_ + "1:" + std::to_string(store_port), folder_));
      gateways_.back()->set_extra(settings.gateway_lines_);
    }
  }

  /// Ends all processes and removes the files.
  auto end() -> void {
    gateways_.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder_);
    }
  }
  deployment(const deployment&) = delete;
  auto operator=(const deployment&) -> deployment& = delete;

  /// Starts all gateways. Returns false if one is not ready in time.
  auto start(bool first) -> bool {
    constexpr auto ready_limit_ms = 15'000;
    for (auto number = 0; number < settings_.gateways_; ++number) {
      gateways_[number]->start(first);
    }
    auto ready = true;
    for (auto number = 0; number < settings_.gateways_; ++number) {
      ready = gateways_[number]->wait_until_ready(ready_limit_ms) && ready;
    }
    return ready;
  }

  auto configuration(int version) const -> json {
    auto route = [](const std::string& prefix, const std::string& type, const std::string& service) {
      return json{{"name", "r-" + service}, {"host", "calls.example"}, {"path_prefix", prefix},
                  {"type", type},           {"service", service},      {"timeout_ms", 5000},
                  {"slo_ms", 200},          {"max_attempts", 2},       {"priority", 0}};
    };
    auto turns = route("/turns/", "streaming", "engines");
    turns["retained"] = true;
    turns["retention_s"] = 60.0;
    turns["sticky"] = true;
    turns["gap_slo_ms"] = 400;
    auto reads = route("/reads/", "safe", "tools");
    auto writes = route("/writes/", "unsafe", "tools");
    reads["name"] = "r-reads";
    writes["name"] = "r-writes";
    auto engine_service = json{{"name", "engines"},
                               {"health_path", "/healthz"},
                               {"max_conns", 370},
                               {"engine", {{"slots", 64}, {"kv_capacity", 211374}, {"chunk_tokens", 3}}}};
    auto tool_service = json{{"name", "tools"}, {"health_path", "/healthz"}, {"max_conns", 110}};
    return {{"version", version},
            {"routes", {turns, reads, writes}},
            {"services", {engine_service, tool_service}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
  }

  auto configure(const json& config) -> void { rows_->put("op", "config", config); }

  auto rows() -> store& { return *rows_; }
  auto runs() -> run_log& { return runs_; }
  auto gateway_at(int number) -> gateway& { return *gateways_.at(number); }
  auto engine_at(int number) -> engine& { return *engines_.at(number); }
  auto folder() const -> const std::string& { return folder_; }
  auto network() const -> const std::string& { return network_; }

 private:
  /// Starts the store in a network of loopback addresses that no other case uses.
  auto open_store() -> void {
    constexpr auto networks = 250;
    for (auto attempt = 0; rows_ == nullptr; ++attempt) {
      network_ = "127.91." + std::to_string((getpid() + attempt) % networks + 1) + ".";
      try {
        rows_ = std::make_unique<store>(network_ + "1", store_port);
      } catch (const boost::system::system_error&) {
        if (attempt == networks) {
          throw;
        }
      }
    }
  }

  static constexpr auto store_port = 9000;
  static constexpr auto first_engine_port = 9200;
  static constexpr auto first_gateway = 10;

  deployment_settings settings_;
  std::string folder_;
  std::string network_;
  run_log runs_;
  std::unique_ptr<store> rows_;
  std::vector<std::unique_ptr<engine>> engines_;
  std::vector<std::unique_ptr<gateway>> gateways_;
};

/// A turn of a program.
struct turn {
  std::string id_;
  std::string program_;
  std::string session_;
  std::string previous_;
  std::string input_;
  std::optional<long> budget_;
  int max_tokens_ = 80;
  long deadline_ms_ = 5000;
};

/// Sends a turn to a gateway.
inline auto send_turn(const gateway& to, const turn& sent, unsigned short port = 8149) -> outcome {
  auto fields = headers{{"Host", "calls.example"},
                        {"X-Request-Id", sent.id_},
                        {"X-Model", "m"},
                        {"X-Token-Usage", "1460," + std::to_string(sent.max_tokens_)},
                        {"X-Prefix-Hash", "5c1e07a2:800,91bd3f06:660"},
                        {"X-Deadline-Ms", std::to_string(sent.deadline_ms_)},
                        {"X-Program-Id", sent.program_},
                        {"X-Session-Id", sent.session_},
                        {"X-Program-Deadline-Ms", "60000"}};
  if (!sent.previous_.empty()) {
    fields["X-Previous-Turn"] = sent.previous_;
  }
  if (sent.budget_) {
    fields["X-Token-Budget"] = std::to_string(*sent.budget_);
  }
  constexpr auto margin_ms = 1000;
  return send(to.ip(), port, http::verb::post, "/turns/2f", fields, sent.input_,
              sent.deadline_ms_ + margin_ms);
}

/// Plays a case and writes its record into a folder. Returns 1 if the rule was broken, 0 if it held, 2 if the
/// case could not run.
inline auto run_case(const std::string& folder, const std::function<int(deployment&, record&)>& play,
                     const deployment_settings& settings = {}) -> int {
  auto log = record{folder + "/record.txt"};
  auto result = 2;
  deployment* deployed = nullptr;  // Never destroyed: threads that serve connections use it to the end.
  try {
    deployed = new deployment{settings};
    if (deployed->start(true)) {
      result = play(*deployed, log);
    } else {
      log.line("gateways did not start");
    }
  } catch (const std::exception& fault) {
    log.line(std::string{"case could not run: "} + fault.what());
  }
  if (deployed != nullptr) {
    deployed->end();
  }
  log.line("exit " + std::to_string(result));
  std::_Exit(result);
}

/// Returns whether the disruption is wanted: not with TROUBLE=0.
inline auto with_trouble() -> bool {
  const auto* wanted = std::getenv("TROUBLE");
  return wanted == nullptr || std::string{wanted} != "0";
}

}  // namespace review
