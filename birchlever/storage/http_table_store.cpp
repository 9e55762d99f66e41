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

auto malformed_response() -> error {
  return error{error_code::store_unavailable, "malformed response from the table service", ran_state::not_run,
               retry_after_ms};
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
                                bool writes) -> result<buffered_response> {
  auto response = pool_->request(target_, method, path, body);
  if (!ok(response)) {
    auto outcome_unknown = writes && failure(response).ran_ == ran_state::outcome_unknown;
    auto code = outcome_unknown ? error_code::store_unknown : error_code::store_unavailable;
    return error{code, failure(response).detail_, failure(response).ran_, retry_after_ms};
  }
  auto status = value(response).status_;
  if (status == 409) {
    return error{error_code::store_conflict, value(response).body_};
  }
  if (status >= 500 || status == 429) {
    return error{error_code::store_unavailable, "table service returned status " + std::to_string(status),
                 ran_state::not_run, retry_after_ms};
  }
  return response;
}

auto http_table_store::commit(const table_transaction& transaction) -> result<std::int64_t> {
  auto response = exchange("POST", "/table/commit", transaction_to_text(transaction), true);
  if (!ok(response)) {
    return failure(response);
  }
  auto body = json::parse(value(response).body_, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    return error{error_code::store_unknown, "malformed response from the table service"};
  }
  return body["version"].get<std::int64_t>();
}

auto http_table_store::read(const std::string& key) -> result<std::optional<table_row>> {
  auto response = exchange("POST", "/table/read", json{{"key", key}}.dump(), false);
  if (!ok(response)) {
    return failure(response);
  }
  if (value(response).status_ == 404) {
    return std::optional<table_row>{};
  }
  auto body = json::parse(value(response).body_, nullptr, false);
  if (!body.is_object() || !body.contains("version")) {
    return malformed_response();
  }
  return std::optional{row_from_json(body)};
}

auto http_table_store::scan(const std::string& prefix, const std::string& after, int limit)
    -> result<std::vector<table_row>> {
  auto parameters = json{{"prefix", prefix}, {"after", after}, {"limit", limit}};
  auto response = exchange("POST", "/table/scan", parameters.dump(), false);
  if (!ok(response)) {
    return failure(response);
  }
  auto body = json::parse(value(response).body_, nullptr, false);
  if (!body.is_object() || !body.contains("rows")) {
    return malformed_response();
  }
  auto rows = std::vector<table_row>{};
  for (const auto& row : body["rows"]) {
    rows.push_back(row_from_json(row));
  }
  return rows;
}

auto http_table_store::put_object(const std::string& key, const std::string& bytes) -> status {
  auto response = exchange("PUT", "/objects/" + key, bytes, true);
  return ok(response) ? status{success} : status{failure(response)};
}

auto http_table_store::get_object(const std::string& key) -> result<std::optional<std::string>> {
  auto response = exchange("GET", "/objects/" + key, "", false);
  if (!ok(response)) {
    return failure(response);
  }
  if (value(response).status_ == 404) {
    return std::optional<std::string>{};
  }
  return std::optional{std::move(value(response).body_)};
}

auto http_table_store::delete_object(const std::string& key) -> status {
  auto response = exchange("DELETE", "/objects/" + key, "", true);
  return ok(response) ? status{success} : status{failure(response)};
}

}  // namespace birchlever
