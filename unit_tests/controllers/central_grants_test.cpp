/// Daemons on loopback that request slots in account allotments from each other. Guards against grants beyond
/// the allotment and against lost requests while a grantor does not respond.
#include "birchlever/controllers/central_grants.h"

#include <catch2/catch.hpp>

#include "unit_tests/http/loop_runner.h"

namespace birchlever {
namespace {

constexpr auto daemons = 3;

auto free_endpoint(event_loop& loop) -> asio::ip::udp::endpoint {
  auto probe = asio::ip::udp::socket{loop, asio::ip::udp::endpoint{asio::ip::address_v4::loopback(), 0}};
  return probe.local_endpoint();
}

auto vm(int index) -> std::string {
  return "vm-" + std::to_string(index);
}

/// Three daemons that know each other.
struct granting_fleet {
  granting_fleet() {
    for (auto index = 0; index < daemons; ++index) {
      addresses_[vm(index)] = free_endpoint(loop_);
    }
    for (auto index = 0; index < daemons; ++index) {
      start_daemon(index);
    }
  }

  auto start_daemon(int index) -> void {
    auto settings = central_grants_settings{};
    settings.vm_ = vm(index);
    const auto& address = addresses_[vm(index)];
    settings.address_ = address.address().to_string() + ":" + std::to_string(address.port());
    settings.debit_interval_ = 20;
    settings.reply_timeout_ = 40;
    auto limit_of = [this](const std::string& account) {
      return account == "unlimited" ? std::nullopt : std::optional{limit_};
    };
    auto created = central_grants::create(loop_, settings, limit_of, [] { return 1.0; });
    REQUIRE(ok(created));
    auto others = addresses_;
    others.erase(vm(index));
    value(created)->set_members(std::move(others));
    daemons_.push_back(value(created));
  }

  auto claim(int index, const std::string& account = "a") -> allotment_decision {
    auto requested = allotment_claim{account, limit_, false, 1, 0};
    return run_to_end(loop_, daemons_[static_cast<std::size_t>(index)]->claim(std::move(requested)));
  }

  event_loop loop_{1};
  account_allotment limit_{20, 20};
  central_grants::member_map addresses_;
  std::vector<std::shared_ptr<central_grants>> daemons_;
};

}  // namespace

TEST_CASE("allotment messages are decoded as encoded, and malformed ones fail with malformed_json") {
  auto request = allotment_request{7, "a", true, 12.5, 900};
  auto read = decode_allotment_message(encode(allotment_message{request}));
  REQUIRE(ok(read));
  CHECK(std::get<allotment_request>(value(read)).account_ == "a");
  CHECK(std::get<allotment_request>(value(read)).program_requests_ == 12.5);
  auto reply = decode_allotment_message(encode(allotment_message{allotment_reply{7, true, {true, 30, 0}}}));
  REQUIRE(ok(reply));
  CHECK(std::get<allotment_reply>(value(reply)).decision_.wait_ == 30);
  auto debit = decode_allotment_message(encode(allotment_message{allotment_debit{"a", 3}}));
  REQUIRE(ok(debit));
  CHECK(std::get<allotment_debit>(value(debit)).tokens_ == 3);
  CHECK(failure(decode_allotment_message("nonsense")).code_ == error_code::malformed_json);
  CHECK(failure(decode_allotment_message("")).code_ == error_code::malformed_json);
  CHECK(failure(decode_allotment_message(std::string(1, '\x81'))).code_ == error_code::malformed_json);
}

TEST_CASE("requests at all daemons together get the allotment and no more") {
  auto fleet = granting_fleet{};
  auto clock = steady_clock{};
  auto started_at = clock.now();
  auto granted = 0;
  for (auto number = 0; number < 60; ++number) {
    granted += fleet.claim(number % daemons).granted_ ? 1 : 0;
  }
  auto elapsed_s = static_cast<double>(clock.now() - started_at) / 1000;
  CHECK(granted >= 5);
  auto max_wait_s = static_cast<double>(allotment_bucket_settings{}.max_wait_) / 1000;
  CHECK(granted <= 5 + fleet.limit_.rate_per_s_ * (elapsed_s + max_wait_s) + 1);
}

TEST_CASE("an unresponsive grantor is replaced by the next in order, without falling back to equal shares") {
  auto fleet = granting_fleet{};
  auto order = grantor_order{grantor_order_settings{vm(0)}};
  order.set_members({vm(1), vm(2)});
  auto account = std::string{"account-0"};
  for (auto number = 1; order.primary(account) != vm(2); ++number) {
    account = "account-" + std::to_string(number);
  }
  REQUIRE(fleet.claim(0, account).granted_);
  fleet.addresses_[vm(2)] = free_endpoint(fleet.loop_);  // No socket is bound there.
  for (auto index = 0; index < 2; ++index) {
    auto others = fleet.addresses_;
    others.erase(vm(index));
    fleet.daemons_[static_cast<std::size_t>(index)]->set_members(std::move(others));
  }
  CHECK(fleet.claim(0, account).granted_);
  CHECK(fleet.claim(1, account).granted_);
  CHECK(fleet.daemons_[0]->fallback_decisions() == 0);
}

TEST_CASE("equal shares apply when no grantor replies") {
  auto fleet = granting_fleet{};
  auto unreachable = fleet.addresses_;
  unreachable.erase(vm(0));
  for (auto& [name, address] : unreachable) {
    address = free_endpoint(fleet.loop_);
  }
  fleet.daemons_[0]->set_members(unreachable);
  auto order = grantor_order{grantor_order_settings{vm(0)}};
  order.set_members({vm(1), vm(2)});
  auto account = std::string{"account-0"};
  for (auto number = 1;
       order.candidates(account, 0).front() == vm(0) || order.candidates(account, 0).back() == vm(0);
       ++number) {
    account = "account-" + std::to_string(number);
  }
  CHECK(fleet.claim(0, account).granted_);
  CHECK(fleet.daemons_[0]->fallback_decisions() == 1);
}

TEST_CASE("a daemon that has not loaded the list of daemons assumes the largest fleet") {
  auto loop = event_loop{1};
  auto address = free_endpoint(loop);
  auto settings = central_grants_settings{};
  settings.vm_ = "vm-0";
  settings.address_ = address.address().to_string() + ":" + std::to_string(address.port());
  auto limit = account_allotment{100, 100};
  auto created = central_grants::create(
      loop, settings, [limit](const std::string&) { return std::optional{limit}; }, [] { return 1.0; });
  REQUIRE(ok(created));
  auto granted = 0;
  for (auto number = 0; number < 20; ++number) {
    auto requested = allotment_claim{"a", limit, false, 1, 0};
    granted += run_to_end(loop, value(created)->claim(std::move(requested))).granted_ ? 1 : 0;
  }
  CHECK(granted == 1);  // 600 in five seconds over 350 daemons.
}

TEST_CASE("binding an address in use fails with address_unavailable") {
  auto fleet = granting_fleet{};
  auto settings = central_grants_settings{};
  settings.vm_ = "vm-9";
  const auto& used = fleet.addresses_[vm(0)];
  settings.address_ = used.address().to_string() + ":" + std::to_string(used.port());
  auto created = central_grants::create(
      fleet.loop_, settings, [](const std::string&) { return std::nullopt; }, [] { return 1.0; });
  REQUIRE(!ok(created));
  CHECK(failure(created).code_ == error_code::address_unavailable);
}

}  // namespace birchlever
