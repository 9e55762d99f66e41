#include "birchlever/controllers/allotment_messages.h"

#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

using json = nlohmann::json;

enum class kind { ask, answer, debit };

auto to_json(const allotment_ask& ask) -> json {
  return json::array({kind::ask, ask.number_, ask.account_, ask.begins_program_, ask.program_requests_,
                      ask.program_ms_, ask.granted_alone_});
}

auto to_json(const allotment_answer& answer) -> json {
  const auto& verdict = answer.verdict_;
  return json::array(
      {kind::answer, answer.number_, answer.known_, verdict.granted_, verdict.wait_, verdict.retry_after_});
}

auto to_json(const allotment_debit& debit) -> json {
  return json::array({kind::debit, debit.account_, debit.tokens_});
}

auto read(const json& message) -> result<allotment_message> {
  switch (message.at(0).get<kind>()) {
    case kind::ask:
      return allotment_message{allotment_ask{message.at(1), message.at(2), message.at(3), message.at(4),
                                             message.at(5), message.at(6)}};
    case kind::answer:
      return allotment_message{
          allotment_answer{message.at(1), message.at(2), {message.at(3), message.at(4), message.at(5)}}};
    case kind::debit:
      return allotment_message{allotment_debit{message.at(1), message.at(2)}};
  }
  return error{error_code::malformed_json, "a message about allotments is of no known kind"};
}

}  // namespace

auto encode(const allotment_message& message) -> std::string {
  auto bytes = std::string{};
  json::to_cbor(std::visit([](const auto& one) { return to_json(one); }, message), bytes);
  return bytes;
}

auto decode_allotment_message(std::string_view bytes) -> result<allotment_message> {
  try {
    return read(json::from_cbor(bytes.begin(), bytes.end()));
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json,
                 std::string{"a message about allotments can't be read: "} + fault.what()};
  }
}

}  // namespace birchlever
