#include "birchlever/coordination/program_ledger.h"

#include <catch2/catch.hpp>

namespace birchlever {
namespace {

auto order_of(int number, bool repeatable = true) -> call_request {
  auto order = call_request{"notary", "p", number};
  order.budget_ = 1000;
  order.max_tokens_ = 100;
  order.digest_ = 1000U + static_cast<unsigned>(number);
  order.repeatable_ = repeatable;
  order.deadline_ = 5000;
  order.request_id_ = "r" + std::to_string(number);
  return order;
}

/// A duplicate of a call: each request of a caller has its own id.
auto duplicate_of(call_request order) -> call_request {
  order.request_id_ += "-again";
  return order;
}

/// A ledger whose records become durable immediately and are kept for a successor.
struct one_owner {
  explicit one_owner(std::int64_t epoch = 1) : ledger_{value(program_ledger::create({}, epoch))} {}

  auto make_durable(const std::vector<journal_record>& records) -> void {
    for (const auto& record : records) {
      ledger_.apply(record, 0);
      journal_.push_back(record);
    }
  }

  auto send(const call_request& order) -> call_ticket {
    auto decision = ledger_.open(order, "default", 0);
    REQUIRE(std::holds_alternative<open_proceed>(decision));
    auto [ticket, intent] = ledger_.dispatch(order, "engine-1", 0);
    make_durable(std::get<open_proceed>(decision).records_);
    if (intent) {
      make_durable({*intent});
    }
    return ticket;
  }

  auto report(const call_request& order, const call_ticket& ticket, call_outcome outcome) -> call_settlement {
    auto settlement = call_settlement{order.account_, order.program_,   order.number_,
                                      ticket.epoch_,  ticket.sequence_, outcome};
    settlement.tokens_ = 40;
    settlement.max_tokens_ = ticket.max_tokens_;
    settlement.digest_ = order.digest_;
    settlement.repeatable_ = order.repeatable_;
    settlement.answer_ = "answer " + std::to_string(order.number_);
    settlement.upstream_ = "engine-1";
    return settlement;
  }

  auto answer(const call_request& order, const call_ticket& ticket) -> void {
    ledger_.mark_accepted("notary", "p", order.number_, ticket.sequence_);
    auto settled = ledger_.settle(report(order, ticket, call_outcome::answered), 0);
    REQUIRE(ok(settled));
    make_durable(value(settled).records_);
  }

  auto take_over(std::int64_t epoch) -> one_owner {
    auto next = one_owner{epoch};
    REQUIRE(ok(next.ledger_.recover({"", journal_, 0, 0}, 0)));
    next.journal_ = journal_;
    return next;
  }

  program_ledger ledger_;
  std::vector<journal_record> journal_;
};

auto code_of(const open_decision& decision) -> error_code {
  REQUIRE(std::holds_alternative<error>(decision));
  return std::get<error>(decision).code_;
}

}  // namespace

TEST_CASE("a call waits until the previous one is accepted") {
  auto owner = one_owner{};
  auto ticket = owner.send(order_of(1));
  CHECK(std::holds_alternative<open_wait>(owner.ledger_.open(order_of(2), "default", 0)));
  CHECK(owner.ledger_.mark_accepted("notary", "p", 1, ticket.sequence_));
  CHECK(std::holds_alternative<open_proceed>(owner.ledger_.open(order_of(2), "default", 0)));
  CHECK(std::holds_alternative<open_wait>(owner.ledger_.open(order_of(4), "default", 0)));
}

TEST_CASE(
    "a duplicate of an answered call gets the answer, a different request with its number is rejected") {
  auto owner = one_owner{};
  owner.answer(order_of(1), owner.send(order_of(1)));
  auto again = owner.ledger_.open(order_of(1), "default", 0);
  REQUIRE(std::holds_alternative<open_replay>(again));
  CHECK(std::get<open_replay>(again).answer_ == "answer 1");
  auto other = order_of(1);
  other.digest_ = 5;
  CHECK(code_of(owner.ledger_.open(other, "default", 0)) == error_code::call_mismatch);
}

TEST_CASE("another account cannot continue a program") {
  auto owner = one_owner{};
  owner.answer(order_of(1), owner.send(order_of(1)));
  auto foreign = order_of(2);
  foreign.account_ = "fiduciary";
  CHECK(code_of(owner.ledger_.open(foreign, "default", 0)) == error_code::unknown_program);
}

TEST_CASE("a non-repeatable call is resolved, not sent again, after a takeover") {
  auto owner = one_owner{};
  owner.answer(order_of(1), owner.send(order_of(1)));
  auto unanswered = order_of(2, false);
  owner.send(unanswered);
  auto next = owner.take_over(2);
  auto decision = next.ledger_.open(duplicate_of(unanswered), "default", 0);
  REQUIRE(std::holds_alternative<open_resolve>(decision));
  CHECK(std::get<open_resolve>(decision).key_ == "notary/p/2");
}

TEST_CASE("a late answer from an earlier epoch settles its call") {
  auto owner = one_owner{};
  auto order = order_of(1, false);
  auto ticket = owner.send(order);
  auto next = owner.take_over(2);
  next.answer(order, ticket);
  CHECK(std::holds_alternative<open_replay>(next.ledger_.open(order, "default", 0)));
  CHECK(next.ledger_.find("notary", "p")->budget_.settled() == 40);
}

TEST_CASE("a ticket that never arrived is voided only by its own request") {
  auto owner = one_owner{};
  auto order = order_of(1, false);
  owner.send(order);
  auto next = owner.take_over(2);
  auto unused = call_settlement{"notary", "p", 1};
  unused.outcome_ = call_outcome::not_run;
  unused.request_id_ = "another request";
  CHECK(value(next.ledger_.settle(unused, 0)).records_.empty());
  unused.request_id_ = order.request_id_;
  next.make_durable(value(next.ledger_.settle(unused, 0)).records_);
  CHECK(std::holds_alternative<open_proceed>(next.ledger_.open(order, "default", 0)));
}

TEST_CASE("a voided ticket does not reopen a call whose outcome was reported as unknown") {
  auto owner = one_owner{};
  owner.answer(order_of(1), owner.send(order_of(1)));
  auto unanswered = order_of(2, false);
  owner.send(unanswered);
  auto next = owner.take_over(2);
  REQUIRE(std::holds_alternative<open_resolve>(next.ledger_.open(duplicate_of(unanswered), "default", 0)));
  auto held = next.ledger_.find("notary", "p")->budget_.held();
  auto unused = call_settlement{"notary", "p", 2};
  unused.outcome_ = call_outcome::not_run;
  unused.request_id_ = unanswered.request_id_;
  next.make_durable(value(next.ledger_.settle(unused, 0)).records_);
  CHECK(next.ledger_.find("notary", "p")->budget_.held() == held - unanswered.max_tokens_);
  CHECK(std::holds_alternative<open_proceed>(next.ledger_.open(order_of(3), "default", 0)));
  CHECK(std::holds_alternative<open_resolve>(next.ledger_.open(duplicate_of(unanswered), "default", 0)));
}

TEST_CASE("a call that was opened but not dispatched can be opened again") {
  auto owner = one_owner{};
  owner.answer(order_of(1), owner.send(order_of(1)));
  auto order = order_of(2, false);
  REQUIRE(std::holds_alternative<open_proceed>(owner.ledger_.open(order, "default", 0)));
  CHECK(owner.ledger_.cancel("notary", "p", 2).empty());
  CHECK(std::holds_alternative<open_proceed>(owner.ledger_.open(order, "default", 0)));
}

TEST_CASE("an entry that lost its ticket may request it again, for another one the outcome is unknown") {
  auto owner = one_owner{};
  auto order = order_of(1, false);
  owner.send(order);
  auto next = owner.take_over(2);
  CHECK(std::holds_alternative<open_resolve>(next.ledger_.open(duplicate_of(order), "default", 0)));
  CHECK(std::holds_alternative<open_proceed>(next.ledger_.open(order, "default", 0)));
}

TEST_CASE("a call that failed before it was accepted must be sent again before the next one") {
  auto owner = one_owner{};
  auto order = order_of(1);
  auto ticket = owner.send(order);
  auto failed = owner.report(order, ticket, call_outcome::failed);
  owner.make_durable(value(owner.ledger_.settle(failed, 0)).records_);
  CHECK(std::holds_alternative<open_wait>(owner.ledger_.open(order_of(2), "default", 0)));
  auto again = owner.send(order);
  owner.ledger_.mark_accepted("notary", "p", 1, again.sequence_);
  CHECK(std::holds_alternative<open_proceed>(owner.ledger_.open(order_of(2), "default", 0)));
}

TEST_CASE("an attempt whose entry is lost times out shortly after the caller's deadline, not before") {
  auto owner = one_owner{};
  auto order = order_of(1, false);
  owner.send(order);
  CHECK(owner.ledger_.expire(order.deadline_ + 1000).empty());
  owner.make_durable(owner.ledger_.expire(order.deadline_ + 6000));
  CHECK(std::holds_alternative<open_resolve>(owner.ledger_.open(duplicate_of(order), "default", 0)));
  CHECK(std::holds_alternative<open_proceed>(owner.ledger_.open(order_of(2), "default", 0)));
}

TEST_CASE("an attempt that timed out is charged in full, and its call is known after a takeover") {
  auto owner = one_owner{};
  owner.send(order_of(1));
  auto records = owner.ledger_.expire(1000000);
  REQUIRE(records.size() == 1);
  owner.make_durable(records);
  CHECK(owner.ledger_.find("notary", "p")->budget_.settled() == 100);
  auto next = owner.take_over(2);
  CHECK(std::holds_alternative<open_proceed>(next.ledger_.open(order_of(1), "default", 0)));
}

// Guards against a late report of another owner's attempt that cancels the call's own one, which was read
// after it was freed: a duplicate of the call then ran beside it.
TEST_CASE("a late report of a previous owner's attempt does not cancel the attempt of this one") {
  for (auto repeatable : {true, false}) {
    auto order = order_of(2, repeatable);
    auto first = one_owner{};
    auto before = order_of(1);
    first.answer(before, first.send(before));
    auto decision = first.ledger_.open(order, "default", 0);
    REQUIRE(std::holds_alternative<open_proceed>(decision));
    auto lost = first.ledger_.dispatch(order, "engine-1", 0).first;  // Its intent does not become durable.
    auto second = first.take_over(2);
    auto ticket = second.send(order);
    auto late = second.ledger_.settle(first.report(order, lost, call_outcome::not_run), 0);
    REQUIRE(ok(late));
    CHECK(value(late).records_.empty());
    auto duplicate = second.ledger_.open(duplicate_of(order), "default", 0);
    CHECK_FALSE(std::holds_alternative<open_proceed>(duplicate));
    second.answer(order, ticket);
  }
}

TEST_CASE("a gap in call numbers left by a previous owner can be filled") {
  auto owner = one_owner{};
  auto first = owner.send(order_of(1));
  owner.ledger_.mark_accepted("notary", "p", 1, first.sequence_);
  auto second = owner.send(order_of(2));
  auto next = owner.take_over(2);
  next.answer(order_of(2), second);
  CHECK(std::holds_alternative<open_proceed>(next.ledger_.open(order_of(1), "default", 0)));
}

TEST_CASE("a new owner adopts a call in progress, so that the next one may start") {
  auto owner = one_owner{};
  auto ticket = owner.send(order_of(1));
  auto next = owner.take_over(2);
  auto in_progress = owner.report(order_of(1), ticket, call_outcome::answered);
  CHECK(next.ledger_.adopt(in_progress, 0));
  CHECK(!next.ledger_.adopt(in_progress, 0));
  CHECK(std::holds_alternative<open_wait>(next.ledger_.open(order_of(1), "default", 0)));
  CHECK(std::holds_alternative<open_proceed>(next.ledger_.open(order_of(2), "default", 0)));
}

TEST_CASE("a budget is never exceeded, and reserved tokens stay held after a takeover") {
  auto owner = one_owner{};
  auto order = order_of(1);
  order.max_tokens_ = 900;
  owner.send(order);
  auto next = owner.take_over(2);
  const auto& budget = next.ledger_.find("notary", "p")->budget_;
  CHECK(budget.held() == budget.reserved());
  CHECK(budget.held() >= 900);
  auto again = order;
  again.max_tokens_ = 200;
  CHECK(code_of(next.ledger_.open(again, "default", 0)) == error_code::budget_exhausted);
}

TEST_CASE("a call without a program settles with an owner that does not know it") {
  auto owner = one_owner{};
  auto report = call_settlement{"notary", "single-1", 1};
  CHECK(!ok(owner.ledger_.settle(report, 0)));
  report.ephemeral_ = true;
  auto settled = owner.ledger_.settle(report, 0);
  REQUIRE(ok(settled));
  CHECK(value(settled).records_.empty());
}

TEST_CASE("looping and ended programs are rejected with their own error codes") {
  auto owner = one_owner{};
  for (auto number = 1; number <= 8; ++number) {
    auto order = order_of(number);
    order.digest_ = 7;
    order.max_tokens_ = 1;
    owner.answer(order, owner.send(order));
  }
  auto ninth = order_of(9);
  ninth.digest_ = 7;
  CHECK(code_of(owner.ledger_.open(ninth, "default", 0)) == error_code::program_looping);
  owner.make_durable(owner.ledger_.end("notary", "p", "done"));
  CHECK(code_of(owner.ledger_.open(order_of(9), "default", 0)) == error_code::program_ended);
}

TEST_CASE("a program without calls ends after the idle limit and is removed after its retention") {
  auto owner = one_owner{};
  owner.answer(order_of(1), owner.send(order_of(1)));
  CHECK(owner.ledger_.expire(599999).empty());
  auto records = owner.ledger_.expire(600000);
  REQUIRE(records.size() == 1);
  CHECK(records.front().reason_ == "idle");
  owner.make_durable(records);
  owner.ledger_.evict_ended(1200001);
  CHECK(owner.ledger_.size() == 0);
}

TEST_CASE("a snapshot contains the state of the records, with answers moved to a segment") {
  auto owner = one_owner{};
  owner.answer(order_of(1), owner.send(order_of(1)));
  owner.send(order_of(2, false));
  auto snapshot = owner.ledger_.prepare_snapshot(1, 9);
  CHECK(snapshot.segment_ == "answer 1");
  auto next = one_owner{2};
  REQUIRE(ok(next.ledger_.recover({snapshot.state_, {}, 0, 0}, 0)));
  auto replay = next.ledger_.open(order_of(1), "default", 0);
  REQUIRE(std::holds_alternative<open_replay>(replay));
  CHECK(std::get<open_replay>(replay).location_.segment_ == snapshot.segment_key_);
  CHECK(std::holds_alternative<open_resolve>(
      next.ledger_.open(duplicate_of(order_of(2, false)), "default", 0)));
  owner.ledger_.complete_snapshot(snapshot);
  auto own = owner.ledger_.open(order_of(1), "default", 0);
  CHECK(std::get<open_replay>(own).location_.length_ == 8);
  CHECK(!ok(next.ledger_.recover({"{\"programs\":[{}]}", {}, 0, 0}, 0)));
}

}  // namespace birchlever
