/// Metrics by account: bounded in number, and no key in them.
#include "birchlever/accounts/account_usage.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "birchlever/accounts/key_digest.h"

namespace birchlever {

TEST_CASE("the accounts that ask most are shown by name, all others as one sum") {
  auto usage = account_usage{};
  for (auto number = 0; number < 1200; ++number) {
    for (auto request = 0; request <= number; ++request) {
      usage.record("account-" + std::to_string(number), request % 2 == 0 ? 200 : 429);
    }
  }
  auto account = client_account{};
  account.name_ = "account-1199";
  account.key_digests_ = {sha256_hex("secret-1"), sha256_hex("secret-2")};
  auto book = value(account_registry::create({account}));
  auto text = usage.to_prometheus(book.get(), 3);
  CHECK(std::count(text.begin(), text.end(), '\n') == 2 * 4 + 1);
  CHECK(text.find("account_requests_total{account=\"account-1199\",status=\"200\"} 600\n") !=
        std::string::npos);
  CHECK(text.find("account-1196") == std::string::npos);
  CHECK(text.find("account_requests_total{account=\"(others)\",status=\"429\"}") != std::string::npos);
  CHECK(text.find(abbreviated_digest(sha256_hex("secret-1"))) != std::string::npos);
  CHECK(text.find(sha256_hex("secret-1")) == std::string::npos);
  CHECK(text.find("secret-1") == std::string::npos);
}

TEST_CASE("without accounts there are no metrics of them") {
  CHECK(account_usage{}.to_prometheus(nullptr, 3).empty());
}

}  // namespace birchlever
