#include "birchlever/storage/http_table_store.h"

#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto retry_after_ms = 1000;

auto row_from_json(const json& body) -> table_row {
  return {body.at("key"), body.at("value"), body.at("version"), body.at("write_id")};
}

auto transaction_to_text(const table_transaction& transaction) -> std::string {
  auto body = json{{"write_id", transaction.write_id_},
                   {"conditions", json::array()},
                   {"puts", json::array()},
                   {"deletes", transaction.deletes_}};
  for (const auto& condition : transaction.conditions_) {
    body["conditions"].push_back({{"key", condition.key_}, {"version", condition.version_}});
  }
  for (const auto& put : transaction.puts_) {
    body["puts"].push_back({{"key", put.key_}, {"value", put.value_}});
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto unreadable() -> error {
  return error{error_code::store_unavailable, "table service answered something unreadable",
               ran_state::not_run, retry_after_ms};
}

}  // namespace

auto http_table_store::create(const std::string& address, const http_pool_settings& settings)
    -> result<std::shared_ptr<http_table_store>> {
  auto target = parse_endpoint(address);
  if (!ok(target)) {
    return failure(target);
  }
  auto pool = http_connection_pool::create(settings, "store");
  if (!ok(pool)) {
    return failure(pool);
  }
  return std::shared_ptr<http_table_store>{new http_table_store{value(target), value(pool)}};
}

http_table_store::http_table_store(endpoint target, std::shared_ptr<http_connection_pool> pool)
    : target_{std::move(target)}, pool_{std::move(pool)} {}

auto http_table_store::exchange(const std::string& method, const std::string& path, const std::string& body,
                                bool writes) -> result<http_answer> {
  auto answer = pool_->request(target_, method, path, body);
  if (!ok(answer)) {
    auto open = writes && failure(answer).ran_ == ran_state::outcome_unknown;
    auto code = open ? error_code::store_unknown : error_code::store_unavailable;
    return error{code, failure(answer).detail_, failure(answer).ran_, retry_after_ms};
  }
  auto status = value(answer).status_;
  if (status == 409) {
    return error{error_code::store_conflict, value(answer).body_};
  }
  if (status >= 500 || status == 429) {
    return error{error_code::store_unavailable, "table service refused with " + std::to_string(status),
                 ran_state::not_run, retry_after_ms};
  }
  return answer;
}

auto http_table_store::commit(const table_transaction& transaction) -> result<std::int64_t> {
  auto answer = exchange("POST", "/table/commit", transaction_to_text(transaction), true);
  if (!ok(answer)) {
    return failure(answer);
  }
  auto body = json::parse(value(answer).body_, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    return error{error_code::store_unknown, "table service answered something unreadable"};
  }
  return body["version"].get<std::int64_t>();
}

auto http_table_store::read(const std::string& key) -> result<std::optional<table_row>> {
  auto answer = exchange("POST", "/table/read", json{{"key", key}}.dump(), false);
  if (!ok(answer)) {
    return failure(answer);
  }
  if (value(answer).status_ == 404) {
    return std::optional<table_row>{};
  }
  auto body = json::parse(value(answer).body_, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    return unreadable();
  }
  return std::optional{row_from_json(body)};
}

auto http_table_store::scan(const std::string& prefix, const std::string& after, int limit)
    -> result<std::vector<table_row>> {
  auto question = json{{"prefix", prefix}, {"after", after}, {"limit", limit}};
  auto answer = exchange("POST", "/table/scan", question.dump(), false);
  if (!ok(answer)) {
    return failure(answer);
  }
  auto body = json::parse(value(answer).body_, nullptr, false);
  if (!body.is_object() || !body.contains("rows")) {
    return unreadable();
  }
  auto rows = std::vector<table_row>{};
  for (const auto& row : body["rows"]) {
    rows.push_back(row_from_json(row));
  }
  return rows;
}

auto http_table_store::put_object(const std::string& key, const std::string& bytes) -> status {
  auto answer = exchange("PUT", "/objects/" + key, bytes, true);
  return ok(answer) ? status{success} : status{failure(answer)};
}

auto http_table_store::get_object(const std::string& key) -> result<std::optional<std::string>> {
  auto answer = exchange("GET", "/objects/" + key, "", false);
  if (!ok(answer)) {
    return failure(answer);
  }
  if (value(answer).status_ == 404) {
    return std::optional<std::string>{};
  }
  return std::optional{std::move(value(answer).body_)};
}

auto http_table_store::delete_object(const std::string& key) -> status {
  auto answer = exchange("DELETE", "/objects/" + key, "", true);
  return ok(answer) ? status{success} : status{failure(answer)};
}

}  // namespace birchlever
