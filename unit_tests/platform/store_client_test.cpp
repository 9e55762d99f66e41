/// Tests of the store client against a fake store server.
#include "platform/store_client.h"
#include "platform/store_format.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <random>

#include "birchlever/http/http_listener.h"
#include "unit_tests/http/free_port.h"

namespace birchlever::platform {
namespace {

/// An HTTP server that responds to calls with scripted steps: a status and body, or no response.
class fake_store {
 public:
  struct step {
    unsigned status_ = 200;
    std::string body_ = R"({"ver":5,"now_ms":100})";
    bool no_response_ = false;
  };

  fake_store() {
    address_ = {asio::ip::address_v4::loopback(), free_port(loop_)};
    auto text = "127.0.0.1:" + std::to_string(address_.port());
    auto listening =
        http_listener::create(loop_, text, [this](auto connection) { return serve(connection); });
    REQUIRE(ok(listening));
    listener_ = value(listening);
    auto settings = store_client_settings{};
    settings.address_ = address_;
    settings.timeouts_.min_ = 60;
    client_ = store_client::create(loop_, settings);
  }

  template <class T>
  auto run(task<result<T>> call) -> result<T> {
    auto outcome = std::optional<result<T>>{};
    auto wait = [](task<result<T>> pending, std::optional<result<T>>& into) -> task<> {
      into = co_await std::move(pending);
    };
    start(loop_, "run", wait(std::move(call), outcome));
    auto clock = steady_clock{};
    auto deadline = clock.now() + 5000;
    loop_.restart();
    while (!outcome && clock.now() < deadline) {
      loop_.run_one_for(std::chrono::milliseconds{50});
    }
    REQUIRE(outcome);
    return *outcome;
  }

  auto commit(milliseconds limit = 1000) -> result<commit_outcome> {
    auto transaction = row_transaction{{{{"t", "p", "k"}, 3}}, {{{"t", "p", "k"}, "value"}}, {}};
    return run(client_->commit(transaction, limit));
  }

  [[nodiscard]] auto address() const -> asio::ip::tcp::endpoint { return address_; }

  event_loop loop_{1};
  std::deque<step> steps_;
  std::vector<std::string> calls_;
  std::shared_ptr<store_client> client_;

 private:
  auto serve(std::shared_ptr<server_connection> connection) -> task<> {
    auto limits = request_limits{};
    while (true) {
      auto read = co_await connection->read_request(limits);
      auto* request = std::get_if<http_request>(&read);
      if (request == nullptr) {
        break;
      }
      calls_.push_back(std::string{request->target()} + " " + request->body());
      auto next = step{};
      if (!steps_.empty()) {
        next = steps_.front();
        steps_.pop_front();
      }
      if (next.no_response_) {
        co_await pause_for(loop_, 2000);
        break;
      }
      auto response = http_response{static_cast<http::status>(next.status_), 11};
      response.body() = next.body_;
      response.prepare_payload();
      co_await connection->write(std::move(response));
    }
    connection->close();
  }

  asio::ip::tcp::endpoint address_;
  std::shared_ptr<http_listener> listener_;
};

}  // namespace

TEST_CASE("a transaction is sent with conditions and base64 values and returns the new version") {
  auto store = fake_store{};
  auto outcome = store.commit();
  REQUIRE(ok(outcome));
  REQUIRE(value(outcome).committed_);
  REQUIRE(value(outcome).version_ == 5);
  REQUIRE(store.calls_.size() == 1);
  REQUIRE(store.calls_[0].find("\"dmFsdWU=\"") != std::string::npos);
  REQUIRE(store.calls_[0].find("\"ver\":3") != std::string::npos);
}

TEST_CASE("a failed condition returns the current rows") {
  auto store = fake_store{};
  store.steps_ = {
      {412,
       R"({"ver":9,"now_ms":1,"rows":[{"table":"t","part":"p","private_key":"k","value":"YWI=","ver":8}]})"}};
  auto outcome = store.commit();
  REQUIRE(ok(outcome));
  REQUIRE_FALSE(value(outcome).committed_);
  REQUIRE(value(outcome).conflicts_.at(0).value_ == "ab");
  REQUIRE(value(outcome).conflicts_.at(0).version_ == 8);
}

TEST_CASE("a call without a response is repeated unchanged") {
  auto store = fake_store{};
  store.steps_ = {{200, "", true}};
  REQUIRE(ok(store.commit()));
  REQUIRE(store.calls_.size() == 2);
  REQUIRE(store.calls_[0] == store.calls_[1]);
}

TEST_CASE("a commit without any response is unknown, a refused one was not applied") {
  auto store = fake_store{};
  store.steps_ = {{200, "", true}, {200, "", true}, {200, "", true},
                  {200, "", true}, {200, "", true}, {200, "", true}};
  auto lost = store.commit(300);
  REQUIRE(failure(lost).code_ == error_code::store_unknown);
  REQUIRE(failure(lost).ran_ == ran_state::outcome_unknown);
  auto refusing = fake_store{};
  refusing.steps_ = {{503, ""}, {503, ""}};
  auto refused = refusing.commit(300);
  REQUIRE(failure(refused).code_ == error_code::store_unavailable);
  REQUIRE(failure(refused).ran_ == ran_state::not_run);
  REQUIRE_FALSE(refusing.client_->reachable());
  REQUIRE(ok(refusing.commit()));
  REQUIRE(refusing.client_->reachable());
}

/// Failure: an answer that does not change is asked for again and again, or one that may change is final.
TEST_CASE("a client error of the store is a rejection, a server error leaves the outcome unknown") {
  for (auto status : {400U, 403U, 409U, 413U, 500U, 502U, 507U}) {
    CAPTURE(status);
    auto store = fake_store{};
    store.steps_ = {{status, "{}"}, {status, "{}"}};
    constexpr auto first_server_error = 500U;
    auto expected = status < first_server_error ? error_code::store_rejected : error_code::store_unknown;
    CHECK(failure(store.commit(300)).code_ == expected);
    CHECK(failure(store.run(store.client_->read({"t", "p", "", ""}, 300))).code_ == expected);
  }
}

/// Failure: a settlement loses its turn since a relaying peer did not get the call in time.
TEST_CASE("a call that did not arrive in time was not applied, and may be repeated") {
  auto store = fake_store{};
  store.steps_ = {{408, "{}"}, {408, "{}"}};
  CHECK(failure(store.commit(300)).code_ == error_code::store_unavailable);
  CHECK(failure(store.run(store.client_->read({"t", "p", "", ""}, 300))).code_ ==
        error_code::store_unavailable);
}

/// Failure: a transaction is larger than was planned, and the store rejects it.
TEST_CASE("an encoded transaction does not exceed its computed size") {
  auto random = std::minstd_rand{1};
  auto text = [&](std::size_t most, int first, int last) {
    auto made = std::string(random() % (most + 1), ' ');
    for (auto& character : made) {
      character = static_cast<char>(first + static_cast<int>(random() % static_cast<unsigned>(last - first)));
    }
    return made;
  };
  auto key = [&] { return row_key{text(8, 0, 127), text(4, 32, 127), text(200, 0, 127)}; };
  for (auto round = 0; round < 200; ++round) {
    auto transaction = row_transaction{};
    for (auto entry = random() % 20; entry > 0; --entry) {
      transaction.conditions_.push_back({key(), static_cast<std::int64_t>(random()) << 32});
      transaction.puts_.push_back({key(), text(300, 0, 127)});
      transaction.removals_.push_back(key());
    }
    CHECK(transaction_body(transaction).size() <= max_encoded_size(transaction));
  }
}

TEST_CASE("a response with malformed JSON or base64 is store_unknown, not an empty page") {
  for (const auto* body :
       {"<html>", R"({"ver":1,"rows":[{"private_key":"k","value":"###"}]})", R"({"rows":[]})"}) {
    auto store = fake_store{};
    store.steps_ = {{200, body}};
    auto page = store.run(store.client_->read({"t", "p", "", ""}, 500));
    REQUIRE_FALSE(ok(page));
    REQUIRE(failure(page).code_ == error_code::store_unknown);
  }
}

TEST_CASE("a response without a version or the store's time is store_unknown") {
  for (const auto* body : {R"({"ver":5})", R"({"now_ms":7})", R"({"rows":[],"ver":5})"}) {
    CHECK(failure(decode_outcome(body, true)).code_ == error_code::store_unknown);
    CHECK(failure(decode_page(body)).code_ == error_code::store_unknown);
  }
  CHECK(value(decode_outcome(R"({"ver":5,"now_ms":7})", true)).store_time_ == 7);
}

TEST_CASE("calls are relayed through a peer while the store refuses this daemon") {
  auto store = fake_store{};
  store.steps_ = {{503, ""}, {503, ""}};
  REQUIRE_FALSE(ok(store.commit(300)));
  REQUIRE_FALSE(store.client_->reachable());
  store.client_->set_relay(
      [&] { return std::optional{store.address()}; });  // The fake store also acts as the peer.
  REQUIRE(store.client_->reachable());
  store.calls_.clear();
  REQUIRE(ok(store.commit(300)));
  REQUIRE(store.calls_.at(0).substr(0, 7) == "/relay/");
  auto clock = steady_clock{};
  auto deadline = clock.now() + 3000;
  auto direct = false;
  while (!direct && clock.now() < deadline) {  // Until a probe finds the store reachable.
    store.run(store.client_->read({"t", "p", "", ""}, 100));
    direct = store.calls_.back().substr(0, 7) != "/relay/";
  }
  REQUIRE(direct);
}

TEST_CASE("throttled calls are retried with exponential backoff and the store stays reachable") {
  auto store = fake_store{};
  store.steps_ = {{429, ""}, {429, ""}, {429, ""}};
  auto clock = steady_clock{};
  auto started = clock.now();
  REQUIRE(ok(store.commit(1000)));
  REQUIRE(store.client_->reachable());
  REQUIRE(store.calls_.size() == 4);
  REQUIRE(store.client_->usage().throttled_ == 3);
  REQUIRE(clock.now() - started >= 15 + 30 + 60);  // The minimum of each jittered delay.
}

TEST_CASE("a store that throttles this daemon persistently is unreachable") {
  auto store = fake_store{};
  store.steps_ = std::deque<fake_store::step>(40, {429, ""});
  auto refused = store.commit(3000);
  REQUIRE(failure(refused).code_ == error_code::store_unavailable);
  REQUIRE_FALSE(store.client_->reachable());
}

TEST_CASE("a relayed call without a response is store_unknown") {
  auto request = http_request{http::verb::post, "/relay/birchlever/rows-tx", 11};
  REQUIRE(store_client::is_relay(request));
  REQUIRE_FALSE(store_client::is_relay(http_request{http::verb::get, "/metrics", 11}));
  auto store = fake_store{};
  store.steps_ = {{503, ""}, {503, ""}};
  REQUIRE_FALSE(ok(store.commit(200)));
  store.steps_ = {{504, ""}, {504, ""}, {504, ""}, {504, ""}, {504, ""}, {504, ""}, {504, ""}, {504, ""}};
  store.client_->set_relay([&] { return std::optional{store.address()}; });
  auto lost = store.commit(200);
  REQUIRE(failure(lost).code_ == error_code::store_unknown);
}

TEST_CASE("truncated history is store_conflict, an unreachable store is store_unavailable") {
  auto store = fake_store{};
  store.steps_ = {{410, "{}"}, {503, "{}"}};
  REQUIRE(failure(store.run(store.client_->changes("t", 5, 50))).code_ == error_code::store_conflict);
  REQUIRE(failure(store.run(store.client_->changes("t", 5, 50))).code_ == error_code::store_unavailable);
}

}  // namespace birchlever::platform
