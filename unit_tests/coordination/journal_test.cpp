#include "birchlever/coordination/journal.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "birchlever/coordination/lease.h"
#include "birchlever/storage/memory_table_store.h"
#include "unit_tests/coordination/store_mock.h"

namespace birchlever {
namespace {

auto always_retry() -> bool {
  return true;
}

auto opened(const std::string& program) -> std::vector<journal_record> {
  auto record = journal_record{record_kind::program_opened, "notary", program};
  record.budget_ = 10;
  return {record};
}

auto write_fence(memory_table_store& store) -> std::int64_t {
  return value(store.commit({"w", {}, {{lease::fence_key(1), "1"}}, {}}));
}

}  // namespace

TEST_CASE("committed records are recovered after a snapshot and trimming") {
  auto store = std::make_shared<memory_table_store>();
  auto version = write_fence(*store);
  auto writer = value(journal::create({2, 1, 0, 10}, 1, version, store));
  for (const auto* name : {"a", "b", "c", "d", "e"}) {
    REQUIRE(ok(writer.commit(opened(name), always_retry)));
  }
  REQUIRE(ok(writer.write_snapshot({3, "state after three", "", "", {}, {}})));
  auto reader = value(journal::create({2, 1, 0, 10}, 1, version, store));
  auto found = reader.recover();
  REQUIRE(ok(found));
  CHECK(value(found).snapshot_ == "state after three");
  REQUIRE(value(found).records_.size() == 2);
  CHECK(value(found).records_[1].program_ == "e");
  CHECK(reader.last_sequence() == 5);
  CHECK(value(store->scan("journal/", "", 100)).size() == 2);
}

TEST_CASE("a writer of an earlier epoch is fenced") {
  auto store = std::make_shared<memory_table_store>();
  auto old_writer = value(journal::create({}, 1, write_fence(*store), store));
  auto new_writer = value(journal::create({}, 1, write_fence(*store), store));
  REQUIRE(ok(new_writer.commit(opened("new"), always_retry)));
  auto refused = old_writer.commit(opened("old"), always_retry);
  REQUIRE(!ok(refused));
  CHECK(failure(refused).code_ == error_code::lease_lost);
}

TEST_CASE("a commit whose response was lost is not written twice") {
  auto store = std::make_shared<store_mock>();
  auto writer = value(journal::create({}, 1, 5, store));
  auto write_id = std::string{};
  trompeloeil::sequence in_order;
  REQUIRE_CALL(*store, commit(trompeloeil::_))
      .IN_SEQUENCE(in_order)
      .LR_SIDE_EFFECT(write_id = _1.write_id_)
      .RETURN(error{error_code::store_unknown, "lost"});
  REQUIRE_CALL(*store, commit(trompeloeil::_))
      .LR_WITH(_1.write_id_ == write_id)
      .IN_SEQUENCE(in_order)
      .RETURN(error{error_code::store_conflict, "there"});
  REQUIRE_CALL(*store, read("journal/0001/000000000001"))
      .LR_RETURN(std::optional<table_row>{table_row{"", "", 9, write_id}});
  CHECK(ok(writer.commit(opened("a"), always_retry)));
  CHECK(writer.last_sequence() == 1);
}

TEST_CASE("a commit abandoned at the end of the lease is reported as unknown, not as failed") {
  auto store = std::make_shared<store_mock>();
  auto writer = value(journal::create({}, 1, 5, store));
  REQUIRE_CALL(*store, commit(trompeloeil::_)).RETURN(error{error_code::store_unavailable, "down"});
  auto outcome = writer.commit(opened("a"), [] { return false; });
  REQUIRE(!ok(outcome));
  CHECK(failure(outcome).code_ == error_code::store_unknown);
}

TEST_CASE("malformed journal rows are rejected with malformed_json") {
  for (const auto* text : {"", "{}", "[1]", "[{\"k\":99}]", "[{\"k\":0,\"a\":5}]", "nonsense"}) {
    auto parsed = parse_records(text);
    REQUIRE(!ok(parsed));
    CHECK(failure(parsed).code_ == error_code::malformed_json);
  }
}

TEST_CASE("records survive a round trip") {
  auto record = journal_record{record_kind::call_intended, "notary", "p", 3, 1};
  record.digest_ = 0xffffffffffffffffULL;
  record.answer_ = "line\n\"quoted\" \xc3\xa9";
  record.sequence_ = (std::int64_t{7} << 32) + 5;
  auto parsed = parse_records(to_text({record}));
  REQUIRE(ok(parsed));
  CHECK(value(parsed).front().digest_ == record.digest_);
  CHECK(value(parsed).front().answer_ == record.answer_);
  CHECK(value(parsed).front().sequence_ == record.sequence_);
}

}  // namespace birchlever
