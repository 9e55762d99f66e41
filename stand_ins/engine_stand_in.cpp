#include "stand_ins/engine_stand_in.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "birchlever/core/hashing.h"

namespace birchlever::stand_ins {
namespace {

using nlohmann::json;

constexpr auto json_type = "application/json";
constexpr auto bytes_per_token = std::int64_t{4};
constexpr auto shortest_answer = std::int64_t{4};
constexpr auto answer_spread = std::uint64_t{24};
constexpr auto hang_poll = std::chrono::milliseconds{20};

auto now_ms() -> std::int64_t {
  auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_start).count();
}

auto now_us() -> std::int64_t {
  auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

auto pause(double milliseconds) -> void {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>{milliseconds});
}

auto prompt_of(const json& body) -> std::string {
  auto prompt = std::string{};
  for (const auto& message : body.at("messages")) {
    auto content = message.value("content", json{});
    prompt += message.value("role", "") + ":" +
              (content.is_string() ? content.get<std::string>() : content.dump()) + "\n";
  }
  return prompt;
}

auto number_header(const httplib::Request& request, const char* name) -> std::int64_t {
  auto text = request.get_header_value(name);
  return text.empty() ? 0 : std::stoll(text);
}

/// Token i of the answer to a prompt: the same wherever it runs, so callers can check it.
auto token_of(std::uint64_t prompt_hash, std::int64_t place) -> std::string {
  return "w" + std::to_string(place) + "-" +
         std::to_string(hash_of(std::to_string(place), prompt_hash) % 10000) + " ";
}

auto chunk(const std::string& id, const std::string& model, const json& delta, const json& reason)
    -> std::string {
  auto body = json{{"id", id},
                   {"object", "chat.completion.chunk"},
                   {"model", model},
                   {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}};
  return "data: " + body.dump() + "\n\n";
}

}  // namespace

engine_stand_in::engine_stand_in(const engine_settings& settings) : settings_{settings} {
  routes();
  session_routes();
}

auto engine_stand_in::take_turn(int priority) -> void {
  auto lock = std::unique_lock{mutex_};
  auto mine = waiting_turn{priority, ++arrivals_};
  queue_.insert(mine);
  turn_changed_.wait(
      lock, [&] { return running_ < settings_.capacity_ && queue_.begin()->arrival_ == mine.arrival_; });
  queue_.erase(mine);
  ++running_;
  turn_changed_.notify_all();
}

auto engine_stand_in::end_turn() -> void {
  auto lock = std::lock_guard{mutex_};
  --running_;
  turn_changed_.notify_all();
}

auto engine_stand_in::cached_tokens(const std::string& session, const std::string& prompt) -> std::int64_t {
  auto best = std::size_t{0};
  auto own = sessions_.find(session);
  if (own != sessions_.end() && prompt.compare(0, own->second.prompt_.size(), own->second.prompt_) == 0) {
    best = own->second.prompt_.size();
  }
  for (const auto& [name, held] : sessions_) {
    auto end = std::mismatch(prompt.begin(), prompt.end(), held.prompt_.begin(), held.prompt_.end()).first;
    best = std::max(best, static_cast<std::size_t>(end - prompt.begin()));
  }
  return static_cast<std::int64_t>(best) / bytes_per_token;
}

auto engine_stand_in::hold(const std::string& session, const std::string& text) -> void {
  auto lock = std::lock_guard{mutex_};
  sessions_[session] = {text, static_cast<std::int64_t>(text.size()) / bytes_per_token, ++arrivals_};
  auto total = std::int64_t{0};
  for (const auto& [name, held] : sessions_) {
    total += held.tokens_;
  }
  while (total > settings_.cache_tokens_ && sessions_.size() > 1) {
    auto oldest = std::min_element(
        sessions_.begin(), sessions_.end(),
        [](const auto& left, const auto& right) { return left.second.used_ < right.second.used_; });
    total -= oldest->second.tokens_;
    sessions_.erase(oldest);
  }
}

auto engine_stand_in::finish(std::size_t index, const std::string& state, std::int64_t tokens) -> void {
  auto lock = std::lock_guard{mutex_};
  log_[index].state_ = state;
  log_[index].tokens_ = tokens;
}

auto engine_stand_in::complete(const httplib::Request& request, httplib::Response& response) -> void {
  if (http_.faults().on("refuse")) {
    response.status = 503;
    return;
  }
  auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("messages")) {
    response.status = 400;
    return;
  }
  auto model = body.value("model", "");
  if (std::count(settings_.models_.begin(), settings_.models_.end(), model) == 0) {
    response.status = 404;
    return;
  }
  while (http_.faults().on("hang")) {
    std::this_thread::sleep_for(hang_poll);
  }
  auto record = call_record{};
  record.session_ = request.get_header_value("birchlever-session");
  record.key_ = request.get_header_value("birchlever-key");
  record.call_ = static_cast<int>(number_header(request, "birchlever-call"));
  record.at_us_ = now_us();
  record.fence_ = number_header(request, "birchlever-fence");
  auto prompt = prompt_of(body);
  auto priority = static_cast<int>(number_header(request, "birchlever-priority"));
  auto index = std::size_t{0};
  {
    auto lock = std::lock_guard{mutex_};
    auto& highest = fences_[record.session_];
    if (settings_.checks_fence_ && record.fence_ < highest) {
      response.status = 409;
      response.set_content(json{{"error", {{"type", "stale_fence"}}}}.dump(), json_type);
      return;
    }
    highest = std::max(highest, record.fence_);
    record.prompt_tokens_ = static_cast<std::int64_t>(prompt.size()) / bytes_per_token;
    record.cached_ = cached_tokens(record.session_, prompt);
    index = log_.size();
    log_.push_back(record);
  }
  response.set_chunked_content_provider(
      "text/event-stream", [this, index, body, prompt, priority](std::size_t, httplib::DataSink& sink) {
        return generate(index, body, prompt, priority, sink);
      });
}

auto engine_stand_in::generate(std::size_t index, const json& body, const std::string& prompt, int priority,
                               httplib::DataSink& sink) -> bool {
  auto record = call_record{};
  {
    auto lock = std::lock_guard{mutex_};
    record = log_[index];
  }
  take_turn(priority);
  auto slow = std::max(1.0, http_.faults().level("slow"));
  pause(static_cast<double>(record.prompt_tokens_ - record.cached_) / settings_.prefill_per_ms_ * slow);
  auto hash = hash_of(prompt);
  auto most = body.value("max_tokens", std::int64_t{16});
  auto natural =
      body.value("answer_tokens", shortest_answer + static_cast<std::int64_t>(hash % answer_spread));
  auto length = std::min(most, natural);
  auto known = body.value("resume_text", std::string{});
  auto first = static_cast<std::int64_t>(std::count(known.begin(), known.end(), ' '));
  auto id = "answer-" + std::to_string(hash);
  auto model = body.value("model", "");
  auto cut_after = static_cast<std::int64_t>(http_.faults().level("cut_after"));
  auto cut = cut_after > 0 && http_.faults().take("cuts");
  auto text = known;
  auto alive = true;
  auto sent = std::int64_t{0};
  for (auto place = first; place < length && alive; ++place) {
    while (http_.faults().on("stall")) {
      std::this_thread::sleep_for(hang_poll);
    }
    pause(settings_.token_ms_ * std::max(1.0, http_.faults().level("slow")));
    auto token = token_of(hash, place);
    text += token;
    auto bytes = chunk(id, model, {{"content", token}}, nullptr);
    alive = sink.is_writable() && sink.write(bytes.data(), bytes.size());
    ++sent;
    if (cut && sent >= cut_after) {
      alive = false;
    }
  }
  end_turn();
  finish(index, alive ? "finished" : "cancelled", sent);
  hold(record.session_, prompt + "assistant:" + text + "\n");
  if (!alive) {
    return false;
  }
  auto last = json{
      {"id", id},
      {"object", "chat.completion.chunk"},
      {"model", model},
      {"choices",
       {{{"index", 0}, {"delta", json::object()}, {"finish_reason", length < natural ? "length" : "stop"}}}},
      {"usage",
       {{"prompt_tokens", record.prompt_tokens_},
        {"completion_tokens", sent},
        {"cached_tokens", record.cached_}}}};
  auto bytes = "data: " + last.dump() + "\n\ndata: [DONE]\n\n";
  sink.write(bytes.data(), bytes.size());
  sink.done();
  return true;
}

auto engine_stand_in::load_report() -> json {
  auto lock = std::lock_guard{mutex_};
  auto held = std::int64_t{0};
  for (const auto& [name, one] : sessions_) {
    held += one.tokens_;
  }
  auto fresh = json{{"running", running_},
                    {"queued", queue_.size()},
                    {"capacity", settings_.capacity_},
                    {"cache_tokens", held},
                    {"cache_capacity", settings_.cache_tokens_},
                    {"models", settings_.models_},
                    {"role", role_}};
  auto now = now_ms();
  reports_.emplace_back(now, fresh);
  auto lag = static_cast<std::int64_t>(settings_.load_lag_ms_ + http_.faults().level("load_lag_ms"));
  while (reports_.size() > 1 && reports_[1].first <= now - lag) {
    reports_.pop_front();
  }
  auto shown = reports_.front().second;
  shown["lag_ms"] = now - reports_.front().first;
  return shown;
}

auto engine_stand_in::order(const json& body, httplib::Response& response) -> void {
  auto lock = std::lock_guard{mutex_};
  auto fence = body.value("fence", std::int64_t{0});
  if (settings_.checks_fence_ && fence < order_fence_) {
    response.status = 409;
    return;
  }
  order_fence_ = std::max(order_fence_, fence);
  auto kind = body.value("order", "");
  if (kind == "change role") {
    role_ = body.value("name", "both");
  } else {
    settings_.models_.push_back(body.value("name", ""));
  }
  response.set_content("{}", json_type);
}

auto engine_stand_in::routes() -> void {
  auto& server = http_.server();
  server.Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) {
    complete(request, response);
  });
  server.Get("/load", [this](const httplib::Request&, httplib::Response& response) {
    response.set_content(load_report().dump(), json_type);
  });
  server.Post("/orders", [this](const httplib::Request& request, httplib::Response& response) {
    order(json::parse(request.body), response);
  });
  server.Get("/log", [this](const httplib::Request&, httplib::Response& response) {
    auto lock = std::lock_guard{mutex_};
    auto list = json::array();
    for (const auto& one : log_) {
      list.push_back({{"engine", settings_.id_},
                      {"session", one.session_},
                      {"key", one.key_},
                      {"call", one.call_},
                      {"fence", one.fence_},
                      {"prompt_tokens", one.prompt_tokens_},
                      {"cached", one.cached_},
                      {"tokens", one.tokens_},
                      {"at_us", one.at_us_},
                      {"state", one.state_}});
    }
    response.set_content(list.dump(), json_type);
  });
}

auto engine_stand_in::session_routes() -> void {
  auto& server = http_.server();
  server.Post("/v1/calls/state", [this](const httplib::Request& request, httplib::Response& response) {
    auto body = json::parse(request.body);
    auto lock = std::lock_guard{mutex_};
    auto state = std::string{"unknown"};
    for (const auto& one : log_) {
      if (one.key_ == body.value("key", "") && one.fence_ == body.value("fence", std::int64_t{0})) {
        state = one.state_;
      }
    }
    response.set_content(json{{"state", state}}.dump(), json_type);
  });
  server.Get("/v1/sessions", [this](const httplib::Request&, httplib::Response& response) {
    auto lock = std::lock_guard{mutex_};
    auto names = json::array();
    for (const auto& [name, held] : sessions_) {
      names.push_back(name);
    }
    response.set_content(json{{"sessions", std::move(names)}}.dump(), json_type);
  });
  server.Post("/v1/sessions/release", [this](const httplib::Request& request, httplib::Response& response) {
    auto lock = std::lock_guard{mutex_};
    sessions_.erase(json::parse(request.body).value("session", ""));
    response.set_content("{}", json_type);
  });
}

}  // namespace birchlever::stand_ins
