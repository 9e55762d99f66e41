#include "birchlever/http/http_call.h"

namespace birchlever {
namespace {

constexpr auto any_age = milliseconds{3'600'000};

}  // namespace

auto call_http(connection_pool& connections, asio::ip::tcp::endpoint address,
               std::shared_ptr<const http_request> request, milliseconds limit, std::size_t most_body)
    -> task<exchanged<whole_answer>> {
  auto taken = co_await connections.take(address, any_age, limit);
  if (auto* fault = std::get_if<exchange_fault>(&taken)) {
    co_return *fault;
  }
  auto connection = std::get<0>(taken);
  connection->send(std::move(request), limit);
  auto head = co_await connection->read_head();
  if (auto* fault = std::get_if<exchange_fault>(&head)) {
    connection->abort();
    co_return *fault;
  }
  auto body = co_await connection->read_rest(most_body);
  if (auto* fault = std::get_if<exchange_fault>(&body)) {
    connection->abort();
    co_return *fault;
  }
  connections.give_back(address, connection);
  co_return whole_answer{std::get<http_response>(head).result_int(), std::move(std::get<std::string>(body))};
}

}  // namespace birchlever
