#include "birchlever/filters/parse_filter.h"

#include <catch2/catch.hpp>
#include <random>

#include "birchlever/core/daemon_settings.h"

namespace birchlever {
namespace {

constexpr auto good_body = R"({"model":"standard","messages":[{"role":"user","content":"hello"}]})";

auto parse(const std::string& body, std::map<std::string, std::string> headers = {}) -> request_context {
  auto settings = daemon_settings{};
  settings.max_body_bytes_ = 2000;
  auto context = request_context{};
  context.body_ = body;
  context.headers_ = std::move(headers);
  (void)parse_filter{settings}.apply(context);
  return context;
}

auto code_of(const request_context& context) -> error_code {
  REQUIRE(context.failure_);
  CHECK(context.failure_->ran_ == ran_state::not_run);
  return context.failure_->code_;
}

}  // namespace

TEST_CASE("call metadata is read from headers or from the birchlever object of the body") {
  auto by_header =
      parse(good_body, {{"birchlever-program", "p"}, {"birchlever-call", "3"}, {"birchlever-budget", "50"}});
  REQUIRE(!by_header.failure_);
  CHECK(by_header.open_.order_.number_ == 3);
  CHECK(by_header.open_.order_.budget_ == 50);
  auto by_body = parse(
      R"({"model":"standard","messages":[{"role":"user","content":"hello"}],"birchlever":{"program":"p","call":3}})");
  REQUIRE(!by_body.failure_);
  CHECK(by_body.open_.order_.number_ == 3);
  CHECK(by_body.open_.order_.digest_ == by_header.open_.order_.digest_);
  CHECK(by_body.upstream_body_.find("birchlever") == std::string::npos);
}

TEST_CASE("each kind of invalid request has its own error code") {
  CHECK(code_of(parse("{")) == error_code::malformed_json);
  CHECK(code_of(parse("[]")) == error_code::wrong_type);
  CHECK(code_of(parse("{}")) == error_code::missing_field);
  CHECK(code_of(parse(std::string(3000, 'x'))) == error_code::body_too_large);
  CHECK(code_of(parse(R"({"model":1,"messages":[{"role":"user","content":"x"}]})")) ==
        error_code::wrong_type);
  CHECK(code_of(parse(R"({"model":"m","messages":[]})")) == error_code::wrong_type);
  CHECK(code_of(parse(R"({"model":"m","messages":[{"content":"x"}]})")) == error_code::wrong_type);
  CHECK(code_of(parse(R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1})")) ==
        error_code::wrong_type);
  CHECK(code_of(parse(good_body, {{"birchlever-program", "p"}})) == error_code::missing_field);
  CHECK(code_of(parse(good_body, {{"birchlever-program", "p"}, {"birchlever-call", "x"}})) ==
        error_code::wrong_type);
  CHECK(code_of(parse(good_body, {{"birchlever-program", "a/b"}, {"birchlever-call", "1"}})) ==
        error_code::wrong_type);
  CHECK(code_of(parse(good_body, {{"birchlever-repeatable", "maybe"}})) == error_code::wrong_type);
  CHECK(code_of(parse(good_body, {{"birchlever-call", "99999999999999999999"}})) == error_code::wrong_type);
}

TEST_CASE("a service call is not repeatable by default") {
  auto settings = daemon_settings{};
  auto context = request_context{};
  context.open_.service_ = "registry";
  context.headers_ = {{"birchlever-program", "p"}, {"birchlever-call", "1"}};
  CHECK(parse_filter{settings}.apply(context) == filter_result::proceed);
  CHECK(!context.open_.order_.repeatable_);
}

TEST_CASE("not_run is reported only if no attempt may have run") {
  auto context = request_context{};
  auto refusal = error{error_code::no_upstream, "none"};
  CHECK(context.with_accurate_run_state(refusal).ran_ == ran_state::not_run);
  context.may_have_run_ = true;
  CHECK(context.with_accurate_run_state(refusal).ran_ == ran_state::outcome_unknown);
}

TEST_CASE("mutated request bodies cause no server error") {
  auto generator = std::mt19937_64{7};
  for (auto round = 0; round < 3000; ++round) {
    auto body = std::string{good_body};
    for (auto change = 0; change < 3; ++change) {
      body[generator() % body.size()] = static_cast<char>(generator() % 256);
    }
    auto context = parse(body.substr(0, generator() % (body.size() + 1)));
    if (context.failure_) {
      CHECK(http_status_of(context.failure_->code_) < 500);
    }
  }
}

}  // namespace birchlever
