/// Tests that account metrics are bounded in number and contain no keys.
#include "birchlever/accounts/account_usage.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "birchlever/accounts/key_digest.h"

namespace birchlever {

TEST_CASE("accounts with the most requests are listed by name and all others as a sum") {
  auto usage = account_usage{};
  for (auto number = 0; number < 1200; ++number) {
    for (auto request = 0; request <= number; ++request) {
      usage.record("account-" + std::to_string(number), request % 2 == 0 ? 200 : 429);
    }
  }
  auto account = client_account{};
  account.name_ = "account-1199";
  account.key_digests_ = {sha256_hex("secret-1"), sha256_hex("secret-2")};
  auto registry = value(account_registry::create({account}));
  auto text = usage.to_prometheus(registry.get(), 3);
  CHECK(std::count(text.begin(), text.end(), '\n') == 2 * 4 + 1);
  CHECK(text.find("account_requests_total{account=\"account-1199\",status=\"200\"} 600\n") !=
        std::string::npos);
  CHECK(text.find("account-1196") == std::string::npos);
  CHECK(text.find("account_requests_total{account=\"(others)\",status=\"429\"}") != std::string::npos);
  CHECK(text.find(abbreviated_digest(sha256_hex("secret-1"))) != std::string::npos);
  CHECK(text.find(sha256_hex("secret-1")) == std::string::npos);
  CHECK(text.find("secret-1") == std::string::npos);
}

TEST_CASE("no metrics are printed without accounts") {
  CHECK(account_usage{}.to_prometheus(nullptr, 3).empty());
}

}  // namespace birchlever
