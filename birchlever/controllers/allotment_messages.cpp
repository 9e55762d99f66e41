#include "birchlever/controllers/allotment_messages.h"

#include <nlohmann/json.hpp>

#include "birchlever/core/bounded_json.h"

namespace birchlever {
namespace {

using json = nlohmann::json;

enum class kind { request, reply, debit };

auto to_json(const allotment_request& request) -> json {
  return json::array({kind::request, request.number_, request.account_, request.starts_program_,
                      request.program_requests_, request.program_ms_, request.granted_without_grantor_});
}

auto to_json(const allotment_reply& reply) -> json {
  const auto& decision = reply.decision_;
  return json::array({kind::reply, reply.number_, reply.has_limit_, decision.granted_, decision.wait_,
                      decision.retry_after_});
}

auto to_json(const allotment_debit& debit) -> json {
  return json::array({kind::debit, debit.account_, debit.tokens_});
}

auto read(const json& message) -> result<allotment_message> {
  switch (message.at(0).get<kind>()) {
    case kind::request:
      return allotment_message{allotment_request{message.at(1), message.at(2), message.at(3), message.at(4),
                                                 message.at(5), message.at(6)}};
    case kind::reply:
      return allotment_message{
          allotment_reply{message.at(1), message.at(2), {message.at(3), message.at(4), message.at(5)}}};
    case kind::debit:
      return allotment_message{allotment_debit{message.at(1), message.at(2)}};
  }
  return error{error_code::malformed_json, "unknown kind of allotment message"};
}

}  // namespace

auto encode(const allotment_message& message) -> std::string {
  auto bytes = std::string{};
  json::to_cbor(std::visit([](const auto& content) { return to_json(content); }, message), bytes);
  return bytes;
}

auto decode_allotment_message(std::string_view bytes) -> result<allotment_message> {
  auto parsed = parse_cbor(bytes);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  try {
    return read(value(parsed));
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed allotment message: "} + fault.what()};
  }
}

}  // namespace birchlever
