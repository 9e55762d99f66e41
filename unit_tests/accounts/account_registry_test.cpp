/// Tests of account lookup and validation, and that keys do not appear in messages.
#include "birchlever/accounts/account_registry.h"

#include <catch2/catch.hpp>

#include "birchlever/accounts/key_digest.h"

namespace birchlever {
namespace {

auto account(const std::string& name, const std::vector<std::string>& keys) -> client_account {
  auto created = client_account{};
  created.name_ = name;
  for (const auto& key : keys) {
    created.key_digests_.push_back(sha256_hex(key));
  }
  return created;
}

auto refusal_of(std::vector<client_account> accounts) -> error {
  auto created = account_registry::create(std::move(accounts));
  REQUIRE(!ok(created));
  return failure(created);
}

}  // namespace

TEST_CASE("an account is found by each of its key digests and by its name only") {
  auto created =
      account_registry::create({account("notary", {"key-1", "key-2"}), account("survey", {"key-3"})});
  REQUIRE(ok(created));
  const auto& registry = *value(created);
  CHECK(registry.find_by_key_digest(sha256_hex("key-2"))->name_ == "notary");
  CHECK(registry.find_by_key_digest(sha256_hex("key-3"))->name_ == "survey");
  CHECK(registry.find_by_key_digest(sha256_hex("key-4")) == nullptr);
  CHECK(registry.find_by_key_digest("key-1") == nullptr);
  CHECK(registry.find_by_key_digest("") == nullptr);
  CHECK(registry.find("survey") != nullptr);
  CHECK(registry.find("nobody") == nullptr);
}

TEST_CASE("unnamed and duplicate accounts, negative limits and shared keys are rejected") {
  CHECK(refusal_of({account("", {"key-1"})}).code_ == error_code::invalid_account);
  CHECK(refusal_of({account("a", {}), account("a", {})}).code_ == error_code::invalid_account);
  auto negative = account("a", {"key-1"});
  negative.allotment_.rate_per_s_ = -1;
  CHECK(refusal_of({negative}).code_ == error_code::invalid_account);
  negative.allotment_ = {1, -1};
  CHECK(refusal_of({negative}).code_ == error_code::invalid_account);
  auto shared = refusal_of({account("a", {"secret-key"}), account("b", {"secret-key"})});
  CHECK(shared.code_ == error_code::invalid_account);
  CHECK(shared.detail_.find("secret-key") == std::string::npos);
  CHECK(shared.detail_.find(sha256_hex("secret-key")) == std::string::npos);
  CHECK(shared.detail_.find(abbreviated_digest(sha256_hex("secret-key"))) != std::string::npos);
}

TEST_CASE("an account may list the same key twice") {
  CHECK(ok(account_registry::create({account("a", {"key-1", "key-1"})})));
}

TEST_CASE("an allotment permits its rate over a period plus one burst, and a zero rate is unlimited") {
  CHECK(account_allotment{10, 5}.max_requests_in(5) == Approx(55));
  CHECK(account_allotment{10, 0}.limited());
  CHECK(!account_allotment{0, 50}.limited());
}

}  // namespace birchlever
