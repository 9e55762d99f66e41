#include "stand_ins/service_stand_in.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace birchlever::stand_ins {
namespace {

using nlohmann::json;

constexpr auto json_type = "application/json";
constexpr auto hang_poll = std::chrono::milliseconds{20};

auto now_us() -> std::int64_t {
  auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

auto pause(double milliseconds) -> void {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{milliseconds});
}

}  // namespace

service_stand_in::service_stand_in(const service_settings& settings) : settings_{settings} {
  auto& server = http_.server();
  server.Get("/log", [this](const httplib::Request&, httplib::Response& response) {
    auto lock = std::lock_guard{mutex_};
    auto list = json::array();
    for (const auto& one : log_) {
      list.push_back({{"service", settings_.id_},
                      {"key", one.key_},
                      {"session", one.session_},
                      {"call", one.call_},
                      {"path", one.path_},
                      {"at_us", one.at_us_},
                      {"repeatable", one.repeatable_}});
    }
    response.set_content(list.dump(), json_type);
  });
  server.Post("/v1/executions/state", [this](const httplib::Request& request, httplib::Response& response) {
    if (!settings_.knows_keys_) {
      response.status = 404;
      return;
    }
    auto lock = std::lock_guard{mutex_};
    auto found = answers_.find(json::parse(request.body).value("key", ""));
    auto body = found == answers_.end() ? json{{"state", "unknown"}}
                                        : json{{"state", "executed"}, {"answer", found->second}};
    response.set_content(body.dump(), json_type);
  });
  server.Post("/(.*)", [this](const httplib::Request& request, httplib::Response& response) {
    execute(request, response);
  });
}

auto service_stand_in::execute(const httplib::Request& request, httplib::Response& response) -> void {
  if (http_.faults().on("refuse")) {
    response.status = 503;
    return;
  }
  auto arrived = now_us();
  pause(settings_.work_ms_ + http_.faults().level("slow_ms"));
  auto call = request.get_header_value("birchlever-call");
  auto one = execution{request.get_header_value("birchlever-key"),
                       request.get_header_value("birchlever-session"),
                       call.empty() ? 0 : std::stoi(call),
                       request.path,
                       request.get_header_value("birchlever-repeatable"),
                       arrived};
  auto body = json{{"done", request.path}, {"key", one.key_}, {"length", request.body.size()}}.dump();
  {
    auto lock = std::lock_guard{mutex_};
    log_.push_back(one);
    answers_[one.key_] = json{{"status", 200}, {"type", json_type}, {"body", body}}.dump();
  }
  while (http_.faults().on("hang")) {
    std::this_thread::sleep_for(hang_poll);
  }
  if (http_.faults().take("drop")) {
    response.set_content_provider(1, json_type,
                                  [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    return;
  }
  response.set_content(body, json_type);
}

}  // namespace birchlever::stand_ins
