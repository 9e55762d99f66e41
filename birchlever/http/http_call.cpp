#include "birchlever/http/http_call.h"

#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto any_age = milliseconds{3'600'000};

auto log_timeout(const asio::ip::tcp::endpoint& address, const outgoing_connection& connection,
                 milliseconds waited, std::size_t closed) -> void {
  log_event(log_level::info, "exchange_timed_out",
            {{"address", address.address().to_string() + ":" + std::to_string(address.port())},
             {"reused_connection", connection.reused()},
             {"waited_ms", waited},
             {"idle_closed", static_cast<std::int64_t>(closed)}});
}

auto end_failed_exchange(connection_pool& connections, const asio::ip::tcp::endpoint& address,
                         outgoing_connection& connection, exchange_fault fault, milliseconds started_at)
    -> void {
  connection.abort();
  if (fault == exchange_fault::timed_out) {
    auto closed = connections.forget(address);
    // An outage, in which every exchange times out on a connection of its own, is reported by the callers.
    if (closed > 0 || connection.reused()) {
      log_timeout(address, connection, steady_clock{}.now() - started_at, closed);
    }
  }
}

}  // namespace

auto call_http(connection_pool& connections, asio::ip::tcp::endpoint address,
               std::shared_ptr<const http_request> request, milliseconds limit, std::size_t most_body)
    -> task<exchanged<whole_answer>> {
  auto taken = co_await connections.take(address, any_age, limit);
  if (auto* fault = std::get_if<exchange_fault>(&taken)) {
    co_return *fault;
  }
  auto connection = std::get<0>(taken);
  auto started_at = steady_clock{}.now();
  connection->send(std::move(request), limit);
  auto head = co_await connection->read_head();
  if (auto* fault = std::get_if<exchange_fault>(&head)) {
    end_failed_exchange(connections, address, *connection, *fault, started_at);
    co_return *fault;
  }
  auto body = co_await connection->read_rest(most_body);
  if (auto* fault = std::get_if<exchange_fault>(&body)) {
    end_failed_exchange(connections, address, *connection, *fault, started_at);
    co_return *fault;
  }
  connections.give_back(address, connection);
  co_return whole_answer{std::get<http_response>(head).result_int(), std::move(std::get<std::string>(body))};
}

}  // namespace birchlever
