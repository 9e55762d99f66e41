/// Guards what daemons remember of the use of leases.
#include "birchlever/coordination/lease_book.h"

#include <catch2/catch.hpp>

#include "birchlever/coordination/lease_answer.h"
#include "birchlever/coordination/program_record.h"

namespace birchlever {

/// Failure: two turns run under one lease, or one starts under a lease that was released.
TEST_CASE("a lease is used once, and not after it was retired or transferred", "[lease_use]") {
  auto book = lease_book{};
  CHECK(book.begin_use("a", 100, 0));
  CHECK_FALSE(book.begin_use("a", 100, 0));
  CHECK_FALSE(book.retire("a", 100, 0));
  CHECK(book.use_of("a") == lease_use::in_use);
  book.end_use("a");
  CHECK(book.use_of("a") == lease_use::unknown);
  CHECK(book.retire("b", 100, 0));
  CHECK_FALSE(book.begin_use("b", 100, 0));
  CHECK(book.transfer("c", "vm-2@1", 100, 0));
  CHECK_FALSE(book.transfer("c", "vm-3@1", 100, 0));
  CHECK_FALSE(book.transfer("b", "vm-2@1", 100, 0));
  CHECK_FALSE(book.begin_use("c", 100, 0));
  CHECK_FALSE(book.retire("c", 100, 0));
  CHECK(book.recipient_of("c") == "vm-2@1");
  CHECK(book.begin_use("d", 100, 0));
  book.abandon_use("d", 100, 0);
  CHECK(book.use_of("d") == lease_use::retired);
}

/// Failure: a witness confirms both a use and a revocation of one lease.
TEST_CASE("a witness records a use or a revocation of a lease, whichever comes first", "[lease_use]") {
  auto book = lease_book{};
  CHECK(book.witness_use("a", 100, 0));
  CHECK(book.witness_use("a", 100, 0));  // The response to the first message was lost.
  CHECK_FALSE(book.revoke("a", 100, 0));
  CHECK(book.revoke("b", 100, 0));
  CHECK_FALSE(book.witness_use("b", 100, 0));
  CHECK(book.revoke("b", 100, 0));
}

/// Failure: memory grows with uses whose end is never stored, or a use is forgotten while others may ask.
TEST_CASE("records of leases are forgotten after their time", "[lease_use]") {
  constexpr auto later = milliseconds{10'000};
  auto book = lease_book{};
  CHECK(book.begin_use("used", 2 * later, 0));
  CHECK(book.begin_use("never_settled", 100, 0));
  CHECK(book.retire("retired", 100, 0));
  CHECK(book.witness_use("old", 100, 0));
  CHECK(book.witness_use("new", 2 * later, 0));
  CHECK(book.size() == 5);
  CHECK_FALSE(book.revoke("new", 100, later));
  CHECK(book.size() == 2);
  CHECK(book.use_of("used") == lease_use::in_use);
}

/// Failure: an answer that is not understood is taken for the release of a lease.
TEST_CASE("answers about leases survive the encoding, and malformed ones resolve nothing", "[lease_use]") {
  for (auto state :
       {lease_state::unresolved, lease_state::unused, lease_state::in_use, lease_state::transferred}) {
    auto decoded = decode_lease_answer(encode({state, "vm-1@2"}));
    CHECK(decoded.state_ == state);
    CHECK(decoded.recipient_ == "vm-1@2");
  }
  for (const auto* text : {"", "unused", "free\n", "\nunused"}) {
    CHECK(decode_lease_answer(text).state_ == lease_state::unresolved);
  }
}

/// Failure: the witness of a lease, or the time by which a turn ends, is lost when another daemon writes the
/// record.
TEST_CASE("witnesses of leases and ends of turns survive a round trip of the record", "[lease_use]") {
  auto record = program_record{};
  record.reserved_ = {{"t1", {40, 0, {}, 5678}}, {"t2+vm-1@7", {30, 1234, "vm-2@9"}}};
  auto decoded = decode_program(encode(record));
  REQUIRE(ok(decoded));
  CHECK(value(decoded).reserved_.at("t2+vm-1@7").witness_ == "vm-2@9");
  CHECK(value(decoded).reserved_.at("t2+vm-1@7").ends_by_ == 0);
  CHECK(value(decoded).reserved_.at("t1").witness_.empty());
  CHECK(value(decoded).reserved_.at("t1").ends_by_ == 5678);
}

}  // namespace birchlever
