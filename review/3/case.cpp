/// Case 3: a machine is added while one tenant sends many times its usual. Does the tenant stay within its
/// allotment, summed over all machines?
#include <iostream>
#include <thread>

#include "../stand_ins/deployment.h"

namespace review {
namespace {

using json = nlohmann::json;

constexpr auto machines = 3;  // And one that is added.
constexpr auto tenant_count = 8;
constexpr auto senders_each = 6;   // Clients of the tenant at each machine.
constexpr auto rate_per_s = 30.0;  // Of the tenant.
constexpr auto burst = 30.0;
constexpr auto usual_x = 1.6;  // quota_x of the site: the rate against what a tenant usually sends.
constexpr auto hot_x = 7.5;    // hot_tenant, x of the site's troubles.
constexpr auto hot_ms = std::int64_t{6500};  // hot_tenant, for_s of the site's troubles.
constexpr auto usual_ms = std::int64_t{2500};
constexpr auto window_ms = std::int64_t{5000};  // quota_window_s.
constexpr auto overage = 0.1;                   // quota_overage.
constexpr auto tolerance = 20.0;                // quota_tolerance.
constexpr auto limit_ms = std::int64_t{2000};
constexpr auto ready_limit_ms = std::int64_t{10'000};
constexpr auto work_ms = std::int64_t{2};
constexpr auto tenant = "tenant-6";  // One whose grants move to the machine that is added.
constexpr auto key = "key-of-tenant-6";

/// When the tenant's requests were sent, and when they ran.
struct ledger {
  std::mutex lock_;
  std::map<std::string, std::int64_t> sent_;
  std::map<std::string, std::int64_t> ran_;
};

/// Runs each request at once.
class tool_server {
 public:
  tool_server(store& platform, const std::string& id, ledger& seen, record& out)
      : ledger_{&seen},
        record_{&out},
        server_{platform, id, "visor", 6,
                [this](const message& request, connection& caller) { return handle(request, caller); }} {}

 private:
  auto handle(const message& request, connection& caller) -> bool {
    auto id = request.header("X-Request-Id");
    if (request.header("X-Tenant") == tenant) {
      auto guard = std::lock_guard{ledger_->lock_};
      ledger_->ran_[id] = now_ms();
    }
    record_->write(server_.id() + " runs " + id + " of tenant " + request.header("X-Tenant"));
    sleep_ms(work_ms);
    auto headers = server_.answer_headers(request);
    headers["X-Response-Signature"] = "mac-" + id;
    return caller.write(answer_bytes(200, headers, "tile"));
  }

  ledger* ledger_;
  record* record_;
  server server_;
};

/// Sends requests of the tenant at an even pace; those that are refused aren't repeated.
auto run_sender(const std::string& front, const std::string& name, const std::atomic<std::int64_t>& gap_ms,
                const std::atomic<bool>& stop, ledger& seen, record& out) -> void {
  auto channel = std::unique_ptr<connection>{};
  auto next = now_ms();
  for (auto count = 0; !stop; ++count) {
    next = std::max(next + gap_ms, now_ms());
    sleep_ms(next - now_ms());
    channel = channel ? std::move(channel) : connection::open(front, limit_ms);
    auto id = name + "r" + std::to_string(count);
    {
      auto guard = std::lock_guard{seen.lock_};
      seen.sent_[id] = now_ms();
    }
    auto request = "GET /tile-fetch/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: " + id +
                   "\r\nX-Deadline-Ms: " + std::to_string(limit_ms) + "\r\nX-Key: " + key + "\r\n\r\n";
    auto answer = std::optional<message>{};
    if (channel && channel->write(request)) {
      answer = channel->read_message(limit_ms);
    }
    out.write("client got " + std::to_string(answer ? answer->status() : 0) + " for " + id + " through " +
              front);
    if (!answer || answer->header("Connection") == "close") {
      channel.reset();
    }
  }
}

/// The most requests that were both sent and run within one window.
auto most_in_window(ledger& seen) -> int {
  auto guard = std::lock_guard{seen.lock_};
  auto most = 0;
  for (const auto& [first, began] : seen.sent_) {
    auto inside = 0;
    for (const auto& [id, ran] : seen.ran_) {
      inside += seen.sent_.at(id) >= began && ran < began + window_ms ? 1 : 0;
    }
    most = std::max(most, inside);
  }
  return most;
}

/// op/config's tenants, all with the same allotment.
auto tenants() -> json {
  auto all = json::array();
  for (auto number = 1; number <= tenant_count; ++number) {
    auto name = "tenant-" + std::to_string(number);
    all.push_back({{"name", name},
                   {"api_keys", json::array({"key-of-" + name})},
                   {"rate_per_s", rate_per_s},
                   {"burst", burst}});
  }
  return all;
}

auto run_case(const std::string& record_file) -> int {
  auto out = record{record_file};
  auto seen = ledger{};
  static auto platform = store{"127.0.0.1"};
  configure(platform, json::array({route("tile-fetch", "safe", "visor", 2000, json::object())}),
            json::array({{{"name", "visor"}, {"health_path", "/healthz"}, {"max_conns", 410}}}), tenants());
  static auto first = tool_server{platform, "visor-1", seen, out};
  static auto second = tool_server{platform, "visor-2", seen, out};
  auto fleet = deployment{platform, {std::vector<std::string>(machines + 1, "zone-a"), true}};
  fleet.start_all(machines);
  sleep_ms(usual_ms);
  auto present = machines;
  if (with_trouble()) {
    out.write("a machine is added");
    fleet.start(machines);
    if (!fleet.wait_ready(machines, ready_limit_ms)) {
      cannot_run("the added gateway was not ready");
    }
    out.write("the added machine is ready and gets clients");
    ++present;
  }
  auto usual_gap = static_cast<std::int64_t>(1000.0 * present * senders_each * usual_x / rate_per_s);
  auto gap_ms = std::atomic<std::int64_t>{usual_gap};
  auto stop = std::atomic<bool>{false};
  auto threads = std::vector<std::thread>{};
  for (auto number = 0; number < present * senders_each; ++number) {
    threads.emplace_back([&, number] {
      run_sender(fleet.front(number % present), "c" + std::to_string(number), gap_ms, stop, seen, out);
    });
  }
  sleep_ms(usual_ms);
  out.write("the tenant sends many times its usual");
  gap_ms = static_cast<std::int64_t>(static_cast<double>(usual_gap) / hot_x);
  sleep_ms(hot_ms);
  out.write("the tenant sends its usual again");
  gap_ms = usual_gap;
  stop = true;
  for (auto& thread : threads) {
    thread.join();
  }
  sleep_ms(100);
  auto allowed = (rate_per_s * window_ms / 1000.0 + burst) * (1 + overage) + tolerance;
  auto most = most_in_window(seen);
  out.write("most requests of the tenant run in one window: " + std::to_string(most) + ", allowed " +
            std::to_string(allowed) + "; sent in all " + std::to_string(seen.sent_.size()) + ", run " +
            std::to_string(seen.ran_.size()));
  std::cout << "most in a window: " << most << ", allowed: " << allowed << ", sent: " << seen.sent_.size()
            << ", run: " << seen.ran_.size() << "\n";
  return most > allowed ? 1 : 0;
}

}  // namespace
}  // namespace review

auto main(int argc, char** argv) -> int {
  auto status = review::run_case(argc > 1 ? argv[1] : "record.txt");
  std::cout << std::flush;
  std::_Exit(status);  // The stand-ins' threads never end.
}
