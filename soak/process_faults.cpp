#include "soak/process_faults.h"

#include <signal.h>

#include <array>
#include <boost/asio/write.hpp>
#include <iostream>

namespace birchlever::soak {
namespace {

constexpr auto seed_factor = std::uint64_t{67};  // Other draws than those of the soak's other series.
constexpr auto longest_gap_ms = 500;
constexpr auto most_signals = 30;
constexpr auto longest_signal_gap_ms = 15;
constexpr auto longest_cut_ms = 600;
constexpr auto longest_hold_ms = 1500;
constexpr auto most_bodies = 60;
constexpr auto least_body = std::size_t{100'000};
constexpr auto most_body = std::size_t{4'000'000};  // The gateways' limit is a little more.
constexpr auto parts = 10;

auto name_of(process_fault kind) -> const char* {
  constexpr auto names =
      std::array<const char*, 4>{"signal_series", "settings_in_parts", "port_held", "bodies_unfinished"};
  return names.at(static_cast<std::size_t>(kind));
}

}  // namespace

process_faults::process_faults(event_loop& loop, const soak_settings& settings, soak_fleet& fleet)
    : loop_{&loop},
      settings_{settings},
      fleet_{&fleet},
      random_{settings.seed_ * seed_factor},
      body_(most_body, 'x') {}

auto process_faults::draw_gap() -> milliseconds {
  return draw(longest_gap_ms);
}

auto process_faults::run_one() -> task<> {
  auto kind = static_cast<process_fault>(draw(static_cast<int>(process_fault::bodies_unfinished)));
  auto gateway = draw(settings_.gateways_ - 1);
  std::cout << "fault " << name_of(kind) << " gateway " << gateway << "\n";
  switch (kind) {
    case process_fault::signal_series:
      co_await send_signals(gateway);
      break;
    case process_fault::settings_in_parts:
      co_await cut_settings(gateway);
      break;
    case process_fault::port_held:
      co_await restart_on_held_port(gateway);
      break;
    case process_fault::bodies_unfinished:
      co_await hold_bodies(gateway);
      break;
  }
}

auto process_faults::send_signals(int gateway) -> task<> {
  constexpr auto numbers = std::array{SIGHUP, SIGUSR1, SIGUSR2, SIGPIPE, SIGXFSZ};
  auto count = 1 + draw(most_signals);
  for (auto sent = 0; sent < count; ++sent) {
    fleet_->signal_if_answered(gateway, numbers.at(static_cast<std::size_t>(draw(numbers.size() - 1))));
    co_await pause_for(*loop_, draw(longest_signal_gap_ms));
  }
}

auto process_faults::cut_settings(int gateway) -> task<> {
  fleet_->write_settings(gateway, static_cast<double>(draw(parts)) / (parts + 1));
  fleet_->signal_if_answered(gateway, SIGHUP);
  co_await pause_for(*loop_, draw(longest_cut_ms));
  fleet_->write_settings(gateway, 1);
  fleet_->signal_if_answered(gateway, SIGHUP);
}

auto process_faults::restart_on_held_port(int gateway) -> task<> {
  auto& process = fleet_->gateways()[static_cast<std::size_t>(gateway)];
  if (process.stopping_since_ != 0) {
    co_return;
  }
  fleet_->kill_gateway(gateway);
  auto holder = asio::ip::tcp::acceptor{*loop_};
  auto address = value(parse_address(fleet_->caller_address(gateway)));
  auto code = boost::system::error_code{};
  holder.open(address.protocol(), code);
  holder.set_option(asio::socket_base::reuse_address{true}, code);
  holder.bind(address, code);
  holder.listen(1, code);
  fleet_->start_gateway(gateway);
  co_await pause_for(*loop_, draw(longest_hold_ms));
  holder.close(code);
}

auto process_faults::hold_bodies(int gateway) -> task<> {
  auto count = 1 + draw(most_bodies);
  auto duration = milliseconds{draw(longest_hold_ms)};
  for (auto body = 0; body < count; ++body) {
    auto bytes = least_body + static_cast<std::size_t>(draw(static_cast<int>(most_body - least_body)));
    start(*loop_, "hold_body", hold_body(gateway, bytes, duration));
  }
  co_await pause_for(*loop_, duration);
}

auto process_faults::hold_body(int gateway, std::size_t bytes, milliseconds duration) -> task<> {
  auto socket = asio::ip::tcp::socket{*loop_};
  auto address = value(parse_address(fleet_->caller_address(gateway)));
  auto code = boost::system::error_code{};
  co_await socket.async_connect(address, resume_with(code));
  auto head =
      "POST /safe/held HTTP/1.1\r\nHost: soak.example\r\nContent-Length: " + std::to_string(bytes + 1) +
      "\r\n\r\n";
  auto buffers = std::array{asio::buffer(head), asio::buffer(body_.data(), bytes)};
  auto closing = asio::steady_timer{*loop_, std::chrono::milliseconds{duration}};
  closing.async_wait([&socket](const boost::system::error_code& cancelled) {
    auto ignored = boost::system::error_code{};
    if (!cancelled) {
      socket.close(ignored);
    }
  });
  if (!code) {
    co_await asio::async_write(socket, buffers, resume_with(code));
  }
  while (socket.is_open()) {
    co_await pause_for(*loop_, longest_signal_gap_ms);
  }
}

}  // namespace birchlever::soak
