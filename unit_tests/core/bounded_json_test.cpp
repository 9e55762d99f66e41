/// Tests that what others send cannot end the process by its nesting.
#include "birchlever/core/bounded_json.h"

#include <catch2/catch.hpp>

#include "birchlever/controllers/allotment_messages.h"
#include "birchlever/controllers/peer_state.h"
#include "birchlever/coordination/program_record.h"
#include "platform/decode.h"
#include "platform/store_format.h"

namespace birchlever {
namespace {

constexpr auto depth = std::size_t{2'000'000};  // The library's functions overflow the stack at some 50,000.

/// Arrays of one element within each other.
auto nested_cbor() -> std::string {
  return std::string(depth, '\x81') + '\x01';
}

auto nested_json() -> std::string {
  return std::string(depth, '[') + std::string(depth, ']');
}

}  // namespace

// Guards against a stack that overflows on a row or message of nested arrays: the process ended by SIGSEGV.
TEST_CASE("deeply nested rows and messages are malformed") {
  auto cbor = nested_cbor();
  auto json = nested_json();
  CHECK(failure(parse_cbor(cbor)).code_ == error_code::malformed_json);
  CHECK(failure(parse_json(json)).code_ == error_code::malformed_json);
  CHECK_FALSE(ok(decode_peer_state(cbor)));
  CHECK_FALSE(ok(decode_allotment_message(cbor)));
  CHECK_FALSE(ok(decode_program(cbor)));
  CHECK_FALSE(ok(decode_turn(cbor)));
  CHECK_FALSE(ok(platform::decode_upstream("u", "\x01" + cbor)));
  auto entry = R"({"service":)" + json + "}";
  CHECK(platform::pack_upstream(entry) == entry);
  CHECK_FALSE(ok(platform::decode_configuration(json)));
}

// Guards against a parser that builds something else than the library's.
TEST_CASE("values are parsed as the library parses them") {
  auto text =
      std::string{R"({"a":[1,-2,3.5,null,true,"x",{"b":[]}],"c":{"d":{}},"a2":18446744073709551615})"};
  auto expected = nlohmann::json::parse(text);
  CHECK(value(parse_json(text)) == expected);
  expected["bytes"] = nlohmann::json::binary({1, 2, 3});
  auto packed = nlohmann::json::to_cbor(expected);
  CHECK(value(parse_cbor({reinterpret_cast<const char*>(packed.data()), packed.size()})) == expected);
  for (const auto* malformed : {"", "{", "[1,]", "{\"a\"}", "1 2", "nul"}) {
    INFO(malformed);
    CHECK_FALSE(ok(parse_json(malformed)));
  }
  CHECK_FALSE(ok(parse_cbor("\x82\x01")));
  CHECK_FALSE(ok(parse_cbor(std::string{"\x01\x01"})));
  CHECK_FALSE(ok(parse_cbor("")));
}

}  // namespace birchlever
