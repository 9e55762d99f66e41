/// A stand-in of a model engine and of a plain service. It notes what it ran.
#pragma once

#include "http_server.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http_server.h"
#include "record.h"
#include "store.h"

namespace review {

/// A request that an engine ran.
struct run {
  std::string request_;
  std::string engine_;
  std::string body_;
  long at_ms_ = 0;
};

/// What all engines of a case ran.
class run_log {
 public:
  auto add(run one) -> void {
    auto lock = std::lock_guard{mutex_};
    runs_.push_back(std::move(one));
  }

  auto all() -> std::vector<run> {
    auto lock = std::lock_guard{mutex_};
    return runs_;
  }

  auto count(const std::string& request) -> int {
    auto lock = std::lock_guard{mutex_};
    return static_cast<int>(
        std::count_if(runs_.begin(), runs_.end(), [&](const run& one) { return one.request_ == request; }));
  }

 private:
  std::mutex mutex_;
  std::vector<run> runs_;
};

/// An engine at an address. Streams `events` events, one each `event_ms`, for POST requests.
class engine {
 public:
  /// Called before a request is run; returns true if it dealt with the request itself.
  using hook = std::function<bool(const request&, server_session&)>;

  engine(std::string id, std::string service, const std::string& ip, unsigned short port, run_log& runs,
         std::string zone)
      : id_{std::move(id)},
        service_{std::move(service)},
        address_{ip + ":" + std::to_string(port)},
        zone_{std::move(zone)},
        runs_{&runs},
        server_{ip, port,
                [this](const request& call, server_session& session) { return answer(call, session); }} {}

  /// Returns its entry in the list of engines.
  auto entry(const std::string& state = "ready") const -> json {
    return {{"service", service_},
            {"address", address_},
            {"zone", zone_},
            {"version", "v1"},
            {"slots", 64},
            {"state", state},
            {"cold_left_ms", 0.0},
            {"sequence", 1},
            {"stage", "both"},
            {"models", json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}})}};
  }

  auto list(store& rows, const std::string& state = "ready") const -> void {
    rows.put("servers", id_, entry(state));
  }

  auto id() const -> const std::string& { return id_; }
  auto set_hook(hook before) -> void { before_ = std::move(before); }
  auto set_pace(int events, int event_ms) -> void {
    events_ = events;
    event_ms_ = event_ms;
  }

 private:
  auto answer(const request& call, server_session& session) -> bool {
    auto target = std::string{call.target()};
    if (target == "/healthz") {
      auto healthy = reply(200, "ok", "text/plain");
      healthy.set("X-Instance-Id", id_);
      return session.write(std::move(healthy));
    }
    if (target.rfind("/birchlever/", 0) == 0) {
      return session.write(report(target));
    }
    auto expected = std::string{call["X-Expect-Instance"]};
    auto request_id = std::string{call["X-Request-Id"]};
    if (!expected.empty() && expected != id_) {
      auto refused = reply(421, "");
      refused.set("X-Request-Id", request_id);
      refused.set("X-Not-Executed", "1");
      return session.write(std::move(refused));
    }
    if (before_ && before_(call, session)) {
      return true;
    }
    runs_->add({request_id, id_, call.body(), now_ms()});
    if (service_ == "tools") {
      std::this_thread::sleep_for(std::chrono::milliseconds{event_ms_});
      auto done = reply(200, "tool " + request_id, "text/plain");
      done.set("X-Request-Id", request_id);
      done.set("X-Response-Signature", "sig-" + request_id);
      return session.write(std::move(done));
    }
    return stream(request_id, session);
  }

  auto stream(const std::string& request_id, server_session& session) -> bool {
    auto head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: " +
        request_id + "\r\nX-Response-Signature: sig-" + request_id + "\r\n\r\n";
    auto open = session.write_bytes(head);
    for (auto number = 1; open && number <= events_; ++number) {
      std::this_thread::sleep_for(std::chrono::milliseconds{event_ms_});
      auto event = "id: " + std::to_string(number) + "\ndata: " + event_data(request_id, number) + "\n\n";
      auto size = std::array<char, 16>{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
      open = session.write_bytes(size.data() + event + "\r\n");
    }
    return open && session.write_bytes("0\r\n\r\n");
  }

  static auto report(const std::string& target) -> response {
    if (target == "/birchlever/report") {
      return reply(200,
                   R"({"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"utilization":false,)"
                   R"("sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":200000,"handles":0})");
    }
    return reply(404, "{}");
  }

 public:
  static auto event_data(const std::string& request_id, int number) -> std::string {
    return request_id + "-" + std::to_string(number);
  }

  /// Returns what a turn's answer adds to the prompt of the next turn.
  static auto output(const std::string& request_id, int events) -> std::string {
    auto text = std::string{};
    for (auto number = 1; number <= events; ++number) {
      text += event_data(request_id, number) + "\n";
    }
    return text;
  }

 private:
  std::string id_;
  std::string service_;
  std::string address_;
  std::string zone_;
  run_log* runs_;
  hook before_;
  std::atomic<int> events_ = 3;
  std::atomic<int> event_ms_ = 2;
  http_server server_;
};

}  // namespace review
