/// Case 1: a second copy of a server's refusal comes late, at the place where the next answer should come. Is
/// the next request, which may run once at most, run once?
#include <atomic>
#include <iostream>
#include <random>
#include <semaphore>
#include <thread>

#include "../stand_ins/deployment.h"

namespace review {
namespace {

using json = nlohmann::json;

constexpr auto gateways = 2;
constexpr auto clients = 26;
constexpr auto slots = 6;   // Of a visor server.
constexpr auto queued = 3;  // Requests that wait for a slot; more are refused.
constexpr auto work_ms = std::int64_t{40};
constexpr auto most_pause_ms = std::int64_t{55};  // Of a client between two requests.
constexpr auto calm_ms = std::int64_t{1500};
constexpr auto harm_ms = std::int64_t{5000};  // garble, for_s of the site's troubles.
constexpr auto spells = 3;                    // Impairments may come repeatedly (BENCH.md).
constexpr auto extra_share = 0.03;            // garble, x of the site's troubles.
constexpr auto call_limit_ms = std::int64_t{6000};

/// What the servers ran and what the clients were told, by request id.
struct ledger {
  std::mutex lock_;
  std::map<std::string, std::vector<std::string>> ran_;
  std::map<std::string, int> answered_;
};

/// A server with a number of slots and a short queue. The faulty one repeats a share of its answers late.
class tool_server {
 public:
  tool_server(store& platform, const std::string& id, bool faulty, ledger& seen, record& out)
      : faulty_{faulty},
        ledger_{&seen},
        record_{&out},
        server_{platform, id, "visor", slots,
                [this](const message& request, connection& caller) { return handle(request, caller); }} {}

  /// Begins or ends the fault.
  auto set_harm(bool on) -> void { harm_ = on; }

  /// Answers, and second copies of them, during the fault.

  [[nodiscard]] auto answers() const -> int { return answers_; }
  /// Second copies among them.
  [[nodiscard]] auto extras() const -> int { return extras_; }

 private:
  auto handle(const message& request, connection& caller) -> bool {
    auto id = request.header("X-Request-Id");
    auto late = take_late(&caller);
    if (!late.empty()) {
      record_->write(server_.id() + " sends a second copy of an earlier refusal where the answer to " + id +
                     " should come");
      if (!caller.write(late)) {
        return false;
      }
    }
    if (admitted_.fetch_add(1) >= slots + queued) {
      admitted_.fetch_sub(1);
      record_->write(server_.id() + " is full and refuses " + id);
      auto refused = server_.refusal(request, 503);
      answers_ += harm_ ? 1 : 0;
      keep_late(&caller, refused);
      return caller.write(refused);
    }
    free_slots_.acquire();
    if (caller.peer_gone()) {
      record_->write(server_.id() + " drops " + id + ", whose channel is closed");
      leave();
      return false;
    }
    {
      auto guard = std::lock_guard{ledger_->lock_};
      ledger_->ran_[id].push_back(server_.id());
    }
    record_->write(server_.id() + " runs " + id);
    sleep_ms(work_ms);
    leave();
    answers_ += harm_ ? 1 : 0;
    auto headers = server_.answer_headers(request);
    headers["X-Response-Signature"] = "mac-" + id;
    return caller.write(answer_bytes(200, headers, "answer to " + id));
  }

  auto leave() -> void {
    free_slots_.release();
    admitted_.fetch_sub(1);
  }

  /// Keeps a copy for the next request on the connection, while the share of such answers stays in bounds.
  auto keep_late(connection* caller, const std::string& answer) -> void {
    auto guard = std::lock_guard{lock_};
    if (faulty_ && harm_ && extras_ + 1 <= extra_share * answers_) {
      ++extras_;
      late_[caller] = answer;
    }
  }

  auto take_late(connection* caller) -> std::string {
    auto guard = std::lock_guard{lock_};
    auto found = late_.find(caller);
    auto kept = found == late_.end() ? std::string{} : found->second;
    late_.erase(caller);
    return kept;
  }

  bool faulty_;
  std::atomic<bool> harm_ = false;
  ledger* ledger_;
  record* record_;
  std::mutex lock_;
  std::map<connection*, std::string> late_;
  std::counting_semaphore<> free_slots_{slots};
  std::atomic<int> admitted_ = 0;
  std::atomic<int> answers_ = 0;
  std::atomic<int> extras_ = 0;
  server server_;
};

/// Sends requests on a kept channel, with pauses between them; repeats none of them.
auto run_client(int number, const std::string& front, const std::atomic<bool>& stop, ledger& seen,
                record& out) -> void {
  auto channel = std::unique_ptr<connection>{};
  auto random = std::minstd_rand{static_cast<std::uint32_t>(number + 1)};
  auto pauses = std::uniform_int_distribution<std::int64_t>{5, most_pause_ms};
  for (auto count = 0; !stop; ++count) {
    channel = channel ? std::move(channel) : connection::open(front, call_limit_ms);
    auto id = "c" + std::to_string(number) + "r" + std::to_string(count);
    auto body = "export " + id;
    auto request = "POST /deed-export/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + id +
                   "\r\nX-Deadline-Ms: " + std::to_string(call_limit_ms) +
                   "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    out.write("client sends " + id + " to " + front);
    auto answer = std::optional<message>{};
    if (channel && channel->write(request)) {
      answer = channel->read_message(call_limit_ms);
    }
    auto status = answer ? answer->status() : 0;
    {
      auto guard = std::lock_guard{seen.lock_};
      seen.answered_[id] = status;
    }
    out.write("client got " + std::to_string(status) + " for " + id);
    if (!answer || answer->header("Connection") == "close") {
      channel.reset();
    }
    sleep_ms(pauses(random));
  }
}

auto judge(ledger& seen, record& out) -> int {
  auto guard = std::lock_guard{seen.lock_};
  auto twice = 0;
  auto refused = 0;
  for (const auto& [id, where] : seen.ran_) {
    auto status = seen.answered_.count(id) != 0 ? seen.answered_.at(id) : 0;
    if (where.size() > 1) {
      ++twice;
      auto text = std::string{};
      for (const auto& name : where) {
        text += " " + name;
      }
      out.write("TWICE: " + id + " ran at" + text + "; its client got " + std::to_string(status));
    }
    if (status == 429 || status == 503 || status == 408 || status == 421) {
      ++refused;
      out.write("REFUSED: " + id + " ran although its client got " + std::to_string(status));
    }
  }
  out.write("requests run: " + std::to_string(seen.ran_.size()) + ", run twice: " + std::to_string(twice) +
            ", refused though run: " + std::to_string(refused));
  std::cout << "run twice: " << twice << ", refused though run: " << refused << " of " << seen.ran_.size()
            << " that ran\n";
  if (seen.ran_.size() < 50) {
    return 2;
  }
  return twice > 0 ? 1 : 0;
}

auto run_case(const std::string& record_file) -> int {
  auto out = record{record_file};
  auto seen = ledger{};
  static auto platform = store{"127.0.0.1"};
  configure(platform, json::array({route("deed-export", "unsafe", "visor", 6000, json::object())}),
            json::array({{{"name", "visor"}, {"health_path", "/healthz"}, {"max_conns", 110}}}));
  static auto first = tool_server{platform, "visor-1", false, seen, out};
  static auto second = tool_server{platform, "visor-2", true, seen, out};
  auto fleet = deployment{platform, {std::vector<std::string>(gateways, "zone-a")}};
  fleet.start_all(gateways);
  auto stop = std::atomic<bool>{false};
  auto threads = std::vector<std::thread>{};
  for (auto number = 0; number < clients; ++number) {
    threads.emplace_back(
        [&, number] { run_client(number, fleet.front(number % gateways), stop, seen, out); });
  }
  for (auto spell = 0; spell < spells; ++spell) {
    sleep_ms(calm_ms);
    second.set_harm(with_trouble());
    sleep_ms(harm_ms);
    second.set_harm(false);
  }
  sleep_ms(calm_ms);
  stop = true;
  for (auto& thread : threads) {
    thread.join();
  }
  sleep_ms(2 * work_ms);
  out.write("visor-2 sent " + std::to_string(second.extras()) + " second copies among " +
            std::to_string(second.answers()) + " answers");
  return judge(seen, out);
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  auto status = review::run_case(argc > 1 ? argv[1] : "record.txt");
  std::cout << std::flush;
  std::_Exit(status);  // The stand-ins' threads never end.
}
