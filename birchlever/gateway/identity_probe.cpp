#include "birchlever/gateway/identity_probe.h"

#include <array>

#include "birchlever/gateway/request_dialect.h"
#include "birchlever/http/outgoing_connection.h"
#include "birchlever/http/port_probe.h"
#include "birchlever/upstream/upstream_entry.h"

namespace birchlever {
namespace {

auto state_of_port(port_state state) -> identity_state {
  switch (state) {
    case port_state::closed:
      return identity_state::closed;
    case port_state::silent:
      return identity_state::silent;
    case port_state::open:
      break;
  }
  return identity_state::open;
}

auto health_request(const request_dialect& dialect, const upstream_entry& entry, const std::string& path,
                    milliseconds limit) -> std::shared_ptr<const http_request> {
  auto request = std::make_shared<http_request>(http::verb::get, path, 11);
  auto headers = upstream_headers{};
  headers.time_left_ = limit;
  headers.expected_upstream_ = entry.id_;
  headers.urgency_ = 0;
  dialect.set_upstream_headers(*request, headers);
  auto host = entry.address_.address().to_string() + ":" + std::to_string(entry.address_.port());
  request->set(http::field::host, host);
  request->keep_alive(false);
  return request;
}

/// Returns what a response says about an incarnation. Being full or unhealthy is no end.
auto state_of(const http_response& response, const response_metadata& metadata, const upstream_entry& entry)
    -> identity_state {
  if (response.result() == http::status::misdirected_request) {
    return identity_state::replaced;
  }
  if (metadata.upstream_.empty()) {
    return identity_state::open;
  }
  return metadata.upstream_ == entry.id_ ? identity_state::alive : identity_state::replaced;
}

}  // namespace

auto name_of(identity_state state) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 5>{"alive", "replaced", "closed", "open", "silent"};
  return names.at(static_cast<std::size_t>(state));
}

auto has_ended(identity_state state) -> bool {
  return state == identity_state::replaced || state == identity_state::closed;
}

auto probe_identity(event_loop& loop, const request_dialect& dialect, upstream_entry entry,
                    std::string health_path, milliseconds limit) -> task<identity_state> {
  auto clock = steady_clock{};
  auto deadline = clock.now() + limit;
  if (health_path.empty()) {
    auto port = co_await probe_port(loop, entry.address_, limit);
    co_return state_of_port(port);
  }
  auto opened = co_await outgoing_connection::open(loop, entry.address_, limit);
  if (std::holds_alternative<exchange_fault>(opened)) {
    // A failed connection does not tell a refusal, which takes no time, from silence.
    auto time_left = deadline - clock.now();
    if (time_left <= 0) {
      co_return identity_state::silent;
    }
    auto port = co_await probe_port(loop, entry.address_, time_left);
    co_return state_of_port(port);
  }
  auto connection = std::get<0>(opened);
  connection->send(health_request(dialect, entry, health_path, limit), deadline - clock.now());
  auto head = co_await connection->read_head();
  connection->abort();
  if (std::holds_alternative<exchange_fault>(head)) {
    co_return identity_state::open;
  }
  const auto& response = std::get<http_response>(head);
  co_return state_of(response, dialect.read_response(response), entry);
}

}  // namespace birchlever
