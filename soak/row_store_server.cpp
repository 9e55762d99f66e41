#include "soak/row_store_server.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "birchlever/core/base64.h"
#include "platform/names.h"

namespace birchlever::soak {
namespace {

using json = nlohmann::json;
namespace names = platform::names;

constexpr auto standard_limit = 500;
constexpr auto call_limit = milliseconds{5000};

auto unescape(const std::string& text) -> std::string {
  auto plain = std::string{};
  for (auto at = std::size_t{0}; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      plain += text[at];
    }
  }
  return plain;
}

/// A parameter of a query, or an empty text.
auto parameter(const std::string& query, const std::string& name) -> std::string {
  auto begin = ("&" + query).find("&" + name + "=");
  if (begin == std::string::npos) {
    return {};
  }
  begin += name.size() + 1;
  return unescape(query.substr(begin, query.find('&', begin) - begin));
}

auto number(const std::string& text) -> std::int64_t {
  return text.empty() ? 0 : std::strtoll(text.c_str(), nullptr, 10);
}

auto key_of(const json& entry) -> row_key {
  return {entry.at(names::table), entry.at(names::part), entry.at(names::key)};
}

auto rows_of(const std::vector<stored_row>& rows) -> json {
  auto list = json::array();
  for (const auto& row : rows) {
    list.push_back({{names::table, row.key_.table_},
                    {names::part, row.key_.partition_},
                    {names::key, row.key_.key_},
                    {names::value, to_base64(row.value_)},
                    {names::version, row.version_},
                    {names::removed, row.removed_}});
  }
  return list;
}

auto reply(unsigned status, const json& body) -> http_response {
  auto answer = http_response{static_cast<http::status>(status), 11};
  answer.set(http::field::content_type, "application/json");
  answer.body() = body.dump();
  answer.prepare_payload();
  return answer;
}

auto reply_failure(const error& reason) -> http_response {
  auto forgotten = reason.code_ == error_code::store_conflict;
  return reply(forgotten ? 410 : 503, json::object());
}

}  // namespace

auto row_store_server::create(event_loop& loop, const std::string& address,
                              std::shared_ptr<memory_row_store> rows)
    -> result<std::unique_ptr<row_store_server>> {
  auto made = std::unique_ptr<row_store_server>{new row_store_server{loop, std::move(rows)}};
  auto* server = made.get();
  auto pages = serve_pages([server](const http_request& request) { return server->answer(request); });
  auto listening = http_listener::create(loop, address, std::move(pages));
  if (!ok(listening)) {
    return failure(listening);
  }
  made->listener_ = value(listening);
  return made;
}

auto row_store_server::answer(const http_request& request) -> task<http_response> {
  auto target = std::string{request.target()};
  auto mark = target.find('?');
  auto path = target.substr(0, mark);
  auto query = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
  if (path == names::transaction_path) {
    auto body = request.body();
    co_return co_await transact(std::move(body));
  }
  if (path == names::read_path) {
    co_return co_await read(std::move(query));
  }
  if (path == names::feed_path) {
    co_return co_await look(std::move(query));
  }
  co_return reply(404, json::object());
}

auto row_store_server::transact(std::string body) -> task<http_response> {
  auto parsed = json::parse(body);
  auto transaction = row_transaction{};
  for (const auto& one : parsed.at(names::conditions)) {
    transaction.conditions_.push_back({key_of(one), one.at(names::version).get<std::int64_t>()});
  }
  for (const auto& one : parsed.at(names::puts)) {
    transaction.puts_.push_back(
        {key_of(one), from_base64(one.at(names::value).get<std::string>()).value_or("")});
  }
  for (const auto& one : parsed.at(names::removals)) {
    transaction.removals_.push_back(key_of(one));
  }
  auto outcome = co_await rows_->commit(std::move(transaction), call_limit);
  if (!ok(outcome)) {
    // An answer that is lost must not look like a refusal: the caller hears nothing for longer than it waits.
    auto lost = failure(outcome).code_ == error_code::store_unknown;
    if (lost) {
      co_await pause_for(*loop_, call_limit);
    }
    co_return reply_failure(failure(outcome));
  }
  auto made = json{{names::version, value(outcome).version_}, {names::store_now, value(outcome).store_time_}};
  if (!value(outcome).committed_) {
    made[names::rows] = rows_of(value(outcome).conflicts_);
  }
  co_return reply(value(outcome).committed_ ? 200 : 412, made);
}

auto row_store_server::read(std::string query) -> task<http_response> {
  auto range = row_range{parameter(query, names::table), parameter(query, names::part),
                         parameter(query, names::from), parameter(query, names::until), standard_limit};
  auto page = co_await rows_->read(std::move(range), call_limit);
  if (!ok(page)) {
    co_return reply_failure(failure(page));
  }
  co_return reply(200, {{names::rows, rows_of(value(page).rows_)},
                        {names::more, value(page).more_},
                        {names::version, value(page).version_},
                        {names::store_now, value(page).store_time_}});
}

auto row_store_server::look(std::string query) -> task<http_response> {
  auto table = parameter(query, names::table);
  auto page = co_await rows_->changes(table, number(parameter(query, names::after)),
                                      number(parameter(query, names::wait_ms)));
  if (!ok(page)) {
    co_return reply_failure(failure(page));
  }
  co_return reply(200, {{names::rows, rows_of(value(page).rows_)},
                        {names::version, value(page).version_},
                        {names::store_now, value(page).store_time_}});
}

}  // namespace birchlever::soak
