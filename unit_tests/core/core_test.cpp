#include <catch2/catch.hpp>
#include <random>

#include "birchlever/core/daemon_settings.h"
#include "birchlever/core/hashing.h"
#include "birchlever/filters/retry_budget.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/telemetry/trace.h"

namespace birchlever {
namespace {

auto valid_settings() -> daemon_settings {
  auto settings = daemon_settings{};
  settings.data_hall_ = "zrh-a";
  settings.store_address_ = "127.0.0.1:9000";
  settings.vm_list_address_ = "127.0.0.1:9000";
  settings.fleet_keys_ = "k";
  settings.operator_keys_ = "o";
  return settings;
}

}  // namespace

TEST_CASE("check_settings returns all errors at once and hides secrets") {
  CHECK(check_settings(valid_settings()).empty());
  auto settings = valid_settings();
  settings.listen_address_ = "localhost";
  settings.http_port_ = 0;
  settings.lease_ms_ = 2000;
  settings.fleet_keys_ = ",";
  settings.store_address_ = "127.0.0.1:x";
  settings.test_without_ = "call_order";
  auto errors = check_settings(settings);
  CHECK(errors.size() == 6);
  for (const auto& invalid : errors) {
    CHECK((invalid.name_ != "fleet_keys" || invalid.value_ == "(hidden)"));
  }
}

TEST_CASE("check_settings accepts arbitrary setting values without failing") {
  auto generator = std::mt19937_64{9};
  for (auto round = 0; round < 2000; ++round) {
    auto settings = valid_settings();
    auto text = std::string(generator() % 20, ' ');
    for (auto& character : text) {
      character = static_cast<char>(generator() % 256);
    }
    settings.store_address_ = text;
    settings.data_hall_ = text;
    settings.lease_ms_ = static_cast<std::int64_t>(generator());
    CHECK(check_settings(settings).size() <= 4);
  }
}

TEST_CASE("programs are distributed evenly over shards") {
  auto counts = std::vector<int>(12);
  for (auto program = 0; program < 12000; ++program) {
    ++counts[static_cast<std::size_t>(shard_of("notary", std::to_string(program), 12))];
  }
  for (auto count : counts) {
    CHECK(count > 850);
    CHECK(count < 1150);
  }
  CHECK(hash_of("x", 1) != hash_of("x", 2));
  CHECK(constant_time_equal("abc", "abc"));
  CHECK(!constant_time_equal("abc", "abcd"));
}

TEST_CASE("the retry budget limits retries to a fraction of first attempts") {
  auto budget = retry_budget{20};
  auto spent = 0;
  while (budget.spend()) {
    ++spent;
  }
  CHECK(spent == 10);
  for (auto attempt = 0; attempt < 100; ++attempt) {
    budget.earn();
  }
  for (spent = 0; budget.spend(); ++spent) {
  }
  CHECK(spent == 19);
}

TEST_CASE("a trace context is parsed from a valid header, and a new one is created otherwise") {
  auto header = std::string{"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"};
  CHECK(trace_context::from_header(header).to_header() == header);
  CHECK(trace_context::from_header("nonsense").trace_id_.size() == 32);
}

TEST_CASE("histogram quantiles are accurate to within one bin") {
  auto registry = metrics{};
  for (auto sample = 1; sample <= 1000; ++sample) {
    registry.observe("x_ms", sample);
  }
  auto quantiles = registry.quantiles_of("x_ms");
  CHECK(quantiles.p50_ == Approx(500).epsilon(0.15));
  CHECK(quantiles.p99_ == Approx(990).epsilon(0.15));
  CHECK(registry.to_prometheus().find("x_ms_count 1000") != std::string::npos);
}

}  // namespace birchlever
