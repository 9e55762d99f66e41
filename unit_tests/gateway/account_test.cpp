/// Client accounts at the gateway: whose request it is, whose turn, and by how old a knowledge a key is
/// honoured.
#include <catch2/catch.hpp>

#include "birchlever/accounts/key_digest.h"
#include "unit_tests/gateway/gateway_fixture.h"

namespace birchlever::test {
namespace {

using header_map = std::map<std::string, std::string>;

auto account(const std::string& name, const std::string& key) -> client_account {
  auto made = client_account{};
  made.name_ = name;
  made.key_digests_ = {sha256_of(key)};
  return made;
}

/// A gateway before two accounts, which knows them from now.
struct two_accounts {
  two_accounts() {
    fixture_.configuration_.routes_.back().public_ = false;
    auto open = fixture_.configuration_.routes_.back();
    open.name_ = "/open/";
    open.path_prefix_ = "/open/";
    open.public_ = true;
    fixture_.configuration_.routes_.push_back(open);
    fixture_.take_accounts({account("notary", "key-n"), account("survey", "key-s")});
    look();
  }

  auto look() -> void { fixture_.context_->freshness_->record_poll(fixture_.context_->clock_.now()); }

  /// From now on knowledge of this age at most honours or refuses keys.
  auto trust_for(milliseconds bound) -> void {
    fixture_.context_->freshness_limits_.known_key_max_age_ms_ = bound;
    fixture_.context_->freshness_limits_.unknown_key_max_age_ms_ = bound;
    fixture_.context_->freshness_limits_.min_stream_hold_ms_ = 2 * bound;
  }

  auto ask(const std::string& target, header_map headers = {}) -> seen_answer {
    headers.emplace("X-Request-Id", "r" + std::to_string(++asked_));
    headers.emplace("X-Deadline-Ms", "1200");
    return fixture_.ask(target, headers, "body");
  }

  auto turn(const std::string& key, const std::string& id, const std::string& previous,
            const std::string& input, const std::string& program = "p1") -> seen_answer {
    auto headers = header_map{{"X-Key", key},           {"X-Request-Id", id},      {"X-Program-Id", program},
                              {"X-Session-Id", "s1"},   {"X-Deadline-Ms", "1400"}, {"X-Token-Budget", "1000"},
                              {"X-Token-Usage", "9,40"}};
    if (!previous.empty()) {
      headers["X-Previous-Turn"] = previous;
    }
    return fixture_.ask("/turn/x", headers, input);
  }

  gateway_fixture fixture_;
  int asked_ = 0;
};

}  // namespace

TEST_CASE("a key's account goes to the upstream in its place, whatever the caller sent") {
  auto gateway = two_accounts{};
  REQUIRE(gateway.ask("/safe/a", {{"X-Key", "key-n"}, {"X-Tenant", "survey"}}).status_ == 200);
  REQUIRE(gateway.ask("/unsafe/a", {{"X-Key", "key-s"}}).status_ == 200);
  REQUIRE(gateway.turn("key-s", "t1", "", "one").whole_);
  REQUIRE(header_of(gateway.fixture_.seen_[0], "X-Tenant") == "notary");
  REQUIRE(header_of(gateway.fixture_.seen_[1], "X-Tenant") == "survey");
  REQUIRE(header_of(gateway.fixture_.seen_[2], "X-Tenant") == "survey");
  for (const auto& seen : gateway.fixture_.seen_) {
    CHECK(seen.headers_.count("X-Key") == 0);
  }
}

TEST_CASE("a repeated try carries the account and never the key") {
  auto gateway = two_accounts{};
  gateway.fixture_.scripts_ = {{script::kind::reset}, {script::kind::answer}};
  REQUIRE(gateway.ask("/safe/a", {{"X-Key", "key-n"}}).status_ == 200);
  REQUIRE(gateway.fixture_.seen_.size() == 2);
  for (const auto& seen : gateway.fixture_.seen_) {
    CHECK(header_of(seen, "X-Tenant") == "notary");
    CHECK(seen.headers_.count("X-Key") == 0);
  }
}

TEST_CASE("a missing or unknown key is refused at once, and the store is not asked for it") {
  auto gateway = two_accounts{};
  auto reads = gateway.fixture_.rows_->reads();
  auto commits = gateway.fixture_.rows_->commits();
  REQUIRE(gateway.ask("/safe/a").status_ == 401);
  REQUIRE(gateway.ask("/turn/a", {{"X-Key", "key-x"}}).status_ == 401);
  auto refused = gateway.ask("/unsafe/a", {{"X-Key", "key-x"}, {"X-Tenant", "notary"}});
  REQUIRE(refused.status_ == 401);
  CHECK(refused.body_.find("key-x") == std::string::npos);
  CHECK(gateway.fixture_.seen_.empty());
  CHECK(gateway.fixture_.rows_->reads() == reads);
  CHECK(gateway.fixture_.rows_->commits() == commits);
}

TEST_CASE("a public route needs no key, also on knowledge of any age, and passes none on") {
  auto gateway = two_accounts{};
  gateway.trust_for(50);
  gateway.fixture_.run_for(100);
  REQUIRE(gateway.ask("/open/a", {{"X-Tenant", "notary"}}).status_ == 200);
  CHECK(gateway.fixture_.seen_[0].headers_.count("X-Tenant") == 0);
}

TEST_CASE("equal names of programs and turns under two accounts are different ones") {
  auto gateway = two_accounts{};
  REQUIRE(gateway.turn("key-n", "t1", "", "mine").whole_);
  REQUIRE(gateway.turn("key-s", "t1", "", "theirs").whole_);
  REQUIRE(gateway.turn("key-n", "t2", "t1", "more").whole_);
  REQUIRE(gateway.turn("key-s", "t2", "t1", "more").whole_);
  REQUIRE(gateway.fixture_.seen_[2].body_ == "minee1\ne2\ne3\nmore");
  REQUIRE(gateway.fixture_.seen_[3].body_ == "theirse1\ne2\ne3\nmore");
}

TEST_CASE("another account's turn is answered like one that never was, within and across programs") {
  auto gateway = two_accounts{};
  REQUIRE(gateway.turn("key-n", "t1", "", "secret").whole_);
  auto of_another = gateway.turn("key-s", "t8", "t1", "go on");
  auto of_other_program = gateway.turn("key-s", "t8", "t1", "go on", "p2");
  auto of_nobody = gateway.turn("key-s", "t8", "t0", "go on");
  REQUIRE(of_another.status_ == 404);
  REQUIRE(of_other_program.status_ == 404);
  REQUIRE(of_nobody.status_ == 404);
  auto name = of_nobody.body_.find("t0");
  REQUIRE(name != std::string::npos);
  of_nobody.body_.replace(name, 2, "t1");
  CHECK(of_another.body_ == of_nobody.body_);
  CHECK(gateway.fixture_.seen_.size() == 1);
  // A program may go on from a turn of another one of its own account.
  REQUIRE(gateway.turn("key-n", "t9", "t1", "go on", "p2").whole_);
}

TEST_CASE("a request that finds its knowledge too old waits for newer, and is judged by that") {
  auto gateway = two_accounts{};
  gateway.trust_for(150);
  gateway.fixture_.run_for(200);
  auto asked_store = false;
  gateway.fixture_.context_->freshness_->on_first_waiter([&] {
    asked_store = true;
    auto renew = [](two_accounts& self) -> task<> {
      co_await pause_for(self.fixture_.loop_, 60);
      self.fixture_.take_accounts({account("survey", "key-s")});  // The other's key was taken away meanwhile.
      self.look();
    };
    start(gateway.fixture_.loop_, "renew", renew(gateway));
  });
  CHECK(gateway.ask("/unsafe/a", {{"X-Key", "key-n"}}).status_ == 401);
  CHECK(asked_store);
  CHECK(gateway.fixture_.seen_.empty());
  CHECK(gateway.ask("/unsafe/a", {{"X-Key", "key-s"}}).status_ == 200);
}

TEST_CASE("a request is refused truthfully when its knowledge stays too old, a known key or not") {
  auto gateway = two_accounts{};
  gateway.trust_for(50);
  gateway.fixture_.run_for(100);
  for (const auto* key : {"key-n", "key-x"}) {
    auto refused = gateway.ask("/unsafe/a", {{"X-Key", key}});
    CHECK(refused.status_ == 503);
    CHECK(refused.headers_["Retry-After"] == "3.000");
    CHECK(refused.body_.find("configuration_stale") != std::string::npos);
    CHECK(refused.body_.find("not_run") != std::string::npos);
  }
  CHECK(gateway.turn("key-n", "t1", "", "one").status_ == 503);
  CHECK(gateway.fixture_.seen_.empty());
}

TEST_CASE("an answered look is no newer than its beginning") {
  auto loop = event_loop{1};
  auto freshness = configuration_freshness{loop};
  CHECK(!freshness.covers(0));
  freshness.record_poll(500);
  freshness.record_poll(400);  // It began before, and was answered later.
  CHECK(freshness.covers(500));
  CHECK(!freshness.covers(501));
}

TEST_CASE("an account's rank goes before its route's") {
  auto gateway = two_accounts{};
  auto urgent = account("urgent", "key-u");
  urgent.rank_ = 0;
  auto patient = account("patient", "key-p");
  patient.rank_ = 1;
  for (auto& route : gateway.fixture_.configuration_.routes_) {
    route.rank_ = route.path_prefix_ == "/safe/" ? 2 : 0;
  }
  gateway.fixture_.take_accounts({urgent, patient});
  REQUIRE(gateway.ask("/safe/a", {{"X-Key", "key-u"}}).status_ == 200);
  REQUIRE(gateway.ask("/unsafe/a", {{"X-Key", "key-p"}}).status_ == 200);
  auto rank_of = [&](std::size_t index) {
    return std::stoi(header_of(gateway.fixture_.seen_[index], "X-Request-Priority"));
  };
  CHECK(rank_of(0) < rank_of(1));
}

}  // namespace birchlever::test
