#include "scenarios/invariants.h"

#include <algorithm>
#include <map>
#include <set>

namespace birchlever::scenarios {
namespace {

using nlohmann::json;

constexpr auto memory_patience_ms = 8000;

auto session_of(const seen_call& call) -> std::string {
  return call.account_ + "/" + call.program_;
}

auto name_of(const seen_call& call) -> std::string {
  return session_of(call) + " call " + std::to_string(call.number_);
}

auto answer_text(const json& recorded) -> std::string {
  auto body = json::parse(recorded.get<std::string>(), nullptr, false);
  if (!body.is_object()) {
    return {};
  }
  return body.contains("choices") ? body["choices"][0]["message"]["content"].get<std::string>()
                                  : body.value("body", "");
}

}  // namespace

auto invariants::collect() -> void {
  engine_log_ = json::array();
  for (auto index = 1; index <= fleet_.engines(); ++index) {
    for (auto& entry : fleet_.get_json(fleet_.engine_address(index), "/log")) {
      engine_log_.push_back(std::move(entry));
    }
  }
  service_log_ = fleet_.get_json(fleet_.service_address(), "/log");
}

auto invariants::order() const -> std::vector<std::string> {
  auto first_arrival = std::map<std::string, std::map<int, std::int64_t>>{};
  for (const auto* log : {&engine_log_, &service_log_}) {
    for (const auto& entry : *log) {
      auto& at = first_arrival[entry.value("session", "")][entry.value("call", 0)];
      auto arrived = entry.value("at_us", std::int64_t{0});
      at = at == 0 ? arrived : std::min(at, arrived);
    }
  }
  auto broken = std::vector<std::string>{};
  for (const auto& [session, calls] : first_arrival) {
    auto before = std::int64_t{0};
    for (const auto& [call, at] : calls) {
      if (at < before) {
        broken.push_back(session + ": call " + std::to_string(call) +
                         " reached an upstream before an earlier call");
      }
      before = std::max(before, at);
    }
  }
  return broken;
}

auto invariants::history() const -> std::vector<std::string> {
  auto broken = std::vector<std::string>{};
  auto recorded = std::map<std::string, std::map<int, std::string>>{};
  for (const auto& named : load_.programs()) {
    const auto& account = named.first;
    const auto& program = named.second;
    auto headers = std::map<std::string, std::string>{{"Authorization", "Bearer " + account + "-key-1"}};
    auto pool = value(http_connection_pool::create(http_pool_settings{}));
    auto found = eventually(8000, [&] {
      for (auto daemon = 1; daemon <= fleet_.daemons(); ++daemon) {
        auto answer =
            pool->request(fleet_.daemon_address(daemon), "GET", "/v1/programs/" + program, "", headers);
        if (!ok(answer) || value(answer).status_ != 200) {
          continue;
        }
        auto body = json::parse(value(answer).body_);
        for (const auto& call : body.at("calls")) {
          recorded[account + "/" + program][call.at("call")] = answer_text(call.at("answer"));
        }
        return true;
      }
      return false;
    });
    if (!found) {
      broken.push_back(account + "/" + program + ": its history cannot be read");
    }
  }
  for (const auto& call : load_.seen()) {
    if (call.outcome_ != "answered") {
      continue;
    }
    const auto& kept = recorded[session_of(call)];
    auto entry = kept.find(call.number_);
    if (entry == kept.end()) {
      broken.push_back(name_of(call) + ": answered, but not in the history");
    } else if (entry->second != call.answer_) {
      broken.push_back(name_of(call) + ": the history has another answer");
    }
  }
  return broken;
}

auto invariants::budget() const -> std::vector<std::string> {
  auto spent = std::map<std::string, std::int64_t>{};
  for (const auto& entry : engine_log_) {
    spent[entry.value("session", "")] += entry.value("tokens", std::int64_t{0});
  }
  auto broken = std::vector<std::string>{};
  for (const auto& [session, tokens] : spent) {
    if (tokens > load_.plan().budget_) {
      broken.push_back(session + ": spent " + std::to_string(tokens) + " of " +
                       std::to_string(load_.plan().budget_));
    }
  }
  return broken;
}

auto invariants::memory() const -> std::vector<std::string> {
  auto left = std::set<std::string>{};
  auto empty = eventually(memory_patience_ms, [&] {
    left.clear();
    for (auto index = 1; index <= fleet_.engines(); ++index) {
      auto body = fleet_.get_json(fleet_.engine_address(index), "/v1/sessions");
      for (const auto& session : body.value("sessions", json::array())) {
        left.insert("engine " + std::to_string(index) + " still holds memory for " +
                    session.get<std::string>());
      }
    }
    return left.empty();
  });
  return empty ? std::vector<std::string>{} : std::vector<std::string>{left.begin(), left.end()};
}

auto invariants::answers() const -> std::vector<std::string> {
  auto broken = std::vector<std::string>{};
  for (const auto& call : load_.seen()) {
    if (call.outcome_ != "answered") {
      continue;
    }
    auto own_tool = call.tool_ && call.answer_.find("/" + call.path_ + "\"") != std::string::npos;
    auto own_text = !call.tool_ && call.answer_ == call.expected_;
    if (!own_tool && !own_text) {
      broken.push_back(name_of(call) + ": got an answer that is not whole or not its own: " + call.answer_);
    }
  }
  return broken;
}

auto invariants::not_run() const -> std::vector<std::string> {
  auto broken = std::vector<std::string>{};
  for (const auto& call : load_.seen()) {
    if (!call.tool_ || call.outcome_ != "not_run") {
      continue;
    }
    for (const auto& entry : service_log_) {
      auto same =
          entry.value("session", "") == session_of(call) && entry.value("path", "") == "/" + call.path_;
      if (same) {
        broken.push_back(name_of(call) + ": " + call.path_ + " was told not run, yet it ran");
      }
    }
  }
  return broken;
}

auto invariants::once() const -> std::vector<std::string> {
  auto runs = std::map<std::string, int>{};
  for (const auto& entry : service_log_) {
    if (entry.value("repeatable", "") == "no") {
      ++runs[entry.value("key", "")];
    }
  }
  auto broken = std::vector<std::string>{};
  for (const auto& [key, count] : runs) {
    if (count > 1) {
      broken.push_back(key + " ran " + std::to_string(count) + " times");
    }
  }
  return broken;
}

auto invariants::leaving(int engine, std::int64_t left_us, int grace_ms) const -> std::vector<std::string> {
  auto broken = std::vector<std::string>{};
  auto id = "engine-" + std::to_string(engine);
  for (const auto& entry : engine_log_) {
    auto late = entry.value("at_us", std::int64_t{0}) > left_us + grace_ms * std::int64_t{1000};
    if (entry.value("engine", "") == id && late) {
      broken.push_back(id + " got " + entry.value("key", "") + " after it left");
    }
  }
  return broken;
}

auto invariants::uncut() const -> std::vector<std::string> {
  auto broken = std::vector<std::string>{};
  for (const auto& call : load_.seen()) {
    if (call.cuts_ > 0) {
      broken.push_back(name_of(call) + ": its answer broke off (" + call.cut_reason_ + ")");
    }
  }
  return broken;
}

auto invariants::prompt_words(int most_ms) const -> std::vector<std::string> {
  auto broken = std::vector<std::string>{};
  for (const auto& call : load_.seen()) {
    if (call.longest_us_ > most_ms * std::int64_t{1000}) {
      broken.push_back(name_of(call) + ": waited " + std::to_string(call.longest_us_ / 1000) +
                       " ms for one word");
    }
  }
  return broken;
}

auto invariants::served() const -> std::vector<std::string> {
  auto broken = std::vector<std::string>{};
  for (const auto& call : load_.seen()) {
    if (call.outcome_ == "gave_up") {
      broken.push_back(name_of(call) + ": never got an answer; last: " + call.last_);
    }
  }
  return broken;
}

}  // namespace birchlever::scenarios
