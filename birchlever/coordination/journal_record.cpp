#include "birchlever/coordination/journal_record.h"

#include <array>
#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

constexpr auto kind_names =
    std::array<std::string_view, 7>{"program_opened", "budget_reserved", "call_intended", "call_answered",
                                    "call_charged",   "call_voided",     "program_ended"};

template <class T>
auto put_unless_default(nlohmann::json& body, const char* name, const T& field) -> void {
  if (field != T{}) {
    body[name] = field;
  }
}

auto to_json(const journal_record& record) -> nlohmann::json {
  auto body = nlohmann::json{{"k", static_cast<int>(record.kind_)}};
  put_unless_default(body, "a", record.account_);
  put_unless_default(body, "p", record.program_);
  put_unless_default(body, "n", record.number_);
  put_unless_default(body, "pa", record.parent_);
  put_unless_default(body, "b", record.budget_);
  put_unless_default(body, "r", record.reserved_);
  put_unless_default(body, "t", record.tokens_);
  put_unless_default(body, "m", record.max_tokens_);
  put_unless_default(body, "d", record.digest_);
  put_unless_default(body, "e", record.epoch_);
  put_unless_default(body, "s", record.sequence_);
  put_unless_default(body, "u", record.upstream_);
  put_unless_default(body, "y", record.key_);
  put_unless_default(body, "rq", record.request_id_);
  put_unless_default(body, "po", record.policy_);
  put_unless_default(body, "an", record.answer_);
  put_unless_default(body, "re", record.reason_);
  return body;
}

auto from_json(const nlohmann::json& body) -> journal_record {
  auto record = journal_record{};
  record.kind_ = static_cast<record_kind>(body.value("k", 0));
  record.account_ = body.value("a", "");
  record.program_ = body.value("p", "");
  record.number_ = body.value("n", 0);
  record.parent_ = body.value("pa", 0);
  record.budget_ = body.value("b", std::int64_t{0});
  record.reserved_ = body.value("r", std::int64_t{0});
  record.tokens_ = body.value("t", std::int64_t{0});
  record.max_tokens_ = body.value("m", std::int64_t{0});
  record.digest_ = body.value("d", std::uint64_t{0});
  record.epoch_ = body.value("e", std::int64_t{0});
  record.sequence_ = body.value("s", std::int64_t{0});
  record.upstream_ = body.value("u", "");
  record.key_ = body.value("y", "");
  record.request_id_ = body.value("rq", "");
  record.policy_ = body.value("po", "");
  record.answer_ = body.value("an", "");
  record.reason_ = body.value("re", "");
  return record;
}

auto is_record(const nlohmann::json& body) -> bool {
  if (!body.is_object() || !body.contains("k") || !body["k"].is_number_integer()) {
    return false;
  }
  auto kind = body["k"].get<int>();
  return kind >= 0 && kind < static_cast<int>(kind_names.size());
}

}  // namespace

auto name_of(record_kind kind) -> std::string_view {
  return kind_names.at(static_cast<std::size_t>(kind));
}

auto to_text(const std::vector<journal_record>& records) -> std::string {
  auto rows = nlohmann::json::array();
  for (const auto& record : records) {
    rows.push_back(to_json(record));
  }
  return rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto parse_records(const std::string& text) -> result<std::vector<journal_record>> {
  auto rows = nlohmann::json::parse(text, nullptr, false);
  if (!rows.is_array()) {
    return error{error_code::malformed_json, "journal row is not a list of records"};
  }
  auto records = std::vector<journal_record>{};
  try {
    for (const auto& row : rows) {
      if (!is_record(row)) {
        return error{error_code::malformed_json, "journal row contains an invalid record"};
      }
      records.push_back(from_json(row));
    }
  } catch (const nlohmann::json::exception& fault) {
    return error{error_code::malformed_json, fault.what()};
  }
  return records;
}

}  // namespace birchlever
