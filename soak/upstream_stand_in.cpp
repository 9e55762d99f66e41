#include "soak/upstream_stand_in.h"

#include <iostream>

#include "birchlever/http/bind_failure.h"
#include "platform/names.h"

namespace birchlever::soak {
namespace {

namespace names = platform::names;

constexpr auto max_prompt_bytes = std::size_t{256} << 20U;  // Histories of many turns with large inputs.
constexpr auto longest_harmful_run_ms = 120;
constexpr auto late_end_ms = milliseconds{2500};
constexpr auto accept_pause = milliseconds{50};  // When descriptors run out.
constexpr auto hold_look_ms = milliseconds{100};
constexpr auto hold_limit_ms = milliseconds{20000};
constexpr auto first_event_ms = milliseconds{10};  // A short prompt on an idle engine.
constexpr auto event_gap_ms = milliseconds{8};
constexpr auto health_path = "/healthz";
constexpr auto work_ms = milliseconds{15};  // Of a plain service.

auto event_bytes(const std::string& id, int number) -> std::string {
  auto text = std::to_string(number);
  return "id: " + text + "\ndata: " + id + "." + text + "\n\n";
}

/// The most events that a turn may have, by the second number of its token usage.
auto events_of(const http_request& request) -> int {
  auto usage = std::string{field_of(request, names::token_usage)};
  auto comma = usage.find(',');
  auto most = comma == std::string::npos ? std::nullopt : parse_count(usage.substr(comma + 1));
  return static_cast<int>(most.value_or(0)) / upstream_stand_in::tokens_per_event;
}

}  // namespace

upstream_stand_in::upstream_stand_in(event_loop& loop, upstream_identity identity, soak_ledger& ledger,
                                     std::uint64_t seed)
    : loop_{&loop},
      identity_{std::move(identity)},
      ledger_{&ledger},
      acceptor_{std::make_shared<asio::ip::tcp::acceptor>(loop)},
      early_responder_{loop, ledger, identity_.id_, identity_.engine_},
      random_{seed},
      early_random_{seed * 13 + 5},
      running_id_{identity_.id_} {}

auto upstream_stand_in::create(event_loop& loop, upstream_identity identity, soak_ledger& ledger,
                               std::uint64_t seed) -> result<std::unique_ptr<upstream_stand_in>> {
  auto made =
      std::unique_ptr<upstream_stand_in>{new upstream_stand_in{loop, std::move(identity), ledger, seed}};
  auto listening = made->listen();
  if (!ok(listening)) {
    return failure(listening);
  }
  start(loop, "accept_all", made->accept_all());
  return made;
}

auto upstream_stand_in::listen() -> status {
  auto address = parse_address(identity_.address_);
  if (!ok(address)) {
    return failure(address);
  }
  auto code = boost::system::error_code{};
  acceptor_->open(value(address).protocol(), code);
  acceptor_->set_option(asio::socket_base::reuse_address{true}, code);
  acceptor_->bind(value(address), code);
  if (!code) {
    acceptor_->listen(asio::socket_base::max_listen_connections, code);
  }
  return code ? status{bind_failure(identity_.address_, code)} : success;
}

auto upstream_stand_in::accept_all() -> task<> {
  auto acceptor = acceptor_;
  while (acceptor->is_open()) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(*loop_);
    auto code = boost::system::error_code{};
    co_await acceptor->async_accept(*socket, resume_with(code));
    if (!acceptor->is_open()) {
      co_return;
    }
    if (code) {
      co_await pause_for(*loop_, accept_pause);
    } else if (draw_early()) {
      start(*loop_, "respond_early", early_responder_.serve(socket, early_responder::draw(early_random_)));
    } else {
      start(*loop_, "serve", serve(server_connection::create(*loop_, std::move(*socket))));
    }
  }
}

auto upstream_stand_in::draw_early() -> bool {
  auto may_be_early = early_share_ > 0 && !dead_ && !silent_ && running_id_ == identity_.id_;
  return may_be_early && std::uniform_real_distribution<double>{0, 1}(early_random_) < early_share_;
}

auto upstream_stand_in::set_fault(upstream_fault fault, double share) -> void {
  fault_ = fault;
  fault_share_ = share;
}

auto upstream_stand_in::die() -> void {
  dead_ = true;
  close_port();
}

auto upstream_stand_in::close_port() -> void {
  auto ignored = boost::system::error_code{};  // It may be closed already.
  acceptor_->close(ignored);
}

auto upstream_stand_in::draw_fault() -> upstream_fault {
  auto meets = std::uniform_real_distribution<double>{0, 1}(random_) < fault_share_;
  return meets ? fault_ : upstream_fault::none;
}

auto upstream_stand_in::serve(std::shared_ptr<server_connection> connection) -> task<> {
  auto limits = request_limits{};
  limits.max_body_bytes_ = max_prompt_bytes;
  auto keep = true;
  connections_.insert(connection);
  while (keep && !dead_) {
    auto read = co_await connection->read_request(limits);
    auto* request = std::get_if<http_request>(&read);
    if (silent_) {
      co_await hold(*connection);
    }
    if (request == nullptr || dead_) {
      break;
    }
    keep = co_await handle(*request, *connection);
    keep = keep && early_share_ == 0;
  }
  connections_.erase(connection);
  connection->close();
}

auto upstream_stand_in::hold(server_connection& connection) -> task<> {
  auto give_up_at = clock_.now() + hold_limit_ms;
  while (!connection.gone() && clock_.now() < give_up_at) {
    co_await pause_for(*loop_, hold_look_ms);
  }
}

auto upstream_stand_in::answer_health(server_connection& connection) -> task<bool> {
  auto answer = http_response{http::status::ok, 11};
  answer.set(names::upstream_identity, running_id_);
  answer.prepare_payload();
  auto written = co_await connection.write(std::move(answer));
  co_return written;
}

auto upstream_stand_in::handle(const http_request& request, server_connection& connection) -> task<bool> {
  auto id = std::string{field_of(request, names::request_id)};
  auto expected = std::string{field_of(request, names::expected_upstream)};
  auto answer = http_response{http::status::ok, 11};
  answer.set(names::request_id, id);
  answer.keep_alive(true);
  auto another = expected != running_id_;
  if (!another && request.target() == health_path) {
    auto kept = co_await answer_health(connection);
    co_return kept;
  }
  auto fault = draw_fault();
  if (another || fault == upstream_fault::refuses) {
    answer.result(another ? 421 : 503);
    answer.set(names::not_executed, "1");
    answer.prepare_payload();
    co_return co_await connection.write(std::move(answer));
  }
  if (fault == upstream_fault::resets) {
    co_return false;
  }
  reached_at_ = clock_.now();
  ledger_->ran(id, request.body(), identity_.id_, std::string{field_of(request, names::account)});
  if (request.count(names::account_key) != 0) {
    ledger_->broken(promise::accounts_are_apart, id + " shows its caller's key to " + identity_.id_);
  }
  auto harmful = request.body().find(harmful_text);
  if (harmful != std::string::npos) {
    auto number = parse_count(field_of(request, form_header)).value_or(0);
    auto work = request.body().substr(harmful);
    co_await end_under(std::move(work), static_cast<harmful_form>(number));
    if (silent_) {
      co_await hold(connection);
    }
    co_return false;
  }
  answer.set(names::response_signature, "proof-" + id);
  if (identity_.engine_) {
    auto events = std::uniform_int_distribution<int>{1, std::max(1, events_of(request))}(random_);
    if (fault == upstream_fault::loses_answer) {
      co_return false;
    }
    co_return co_await stream(id, events, fault == upstream_fault::breaks_off, std::move(answer), connection);
  }
  co_await pause_for(*loop_, work_ms);
  answer.body() = "answer to " + id;
  answer.prepare_payload();
  ledger_->answered(id, answer.body(), true);
  if (fault == upstream_fault::loses_answer || fault == upstream_fault::breaks_off || dead_) {
    co_return false;
  }
  co_return co_await connection.write(std::move(answer));
}

auto upstream_stand_in::end_under(std::string work, harmful_form form) -> task<> {
  auto run_ms = std::uniform_int_distribution<int>{0, longest_harmful_run_ms}(random_);
  co_await pause_for(*loop_, form == harmful_form::late ? late_end_ms : milliseconds{run_ms});
  auto id = identity_.id_;
  if (dead_ || silent_ || running_id_ != id) {
    co_return;
  }
  ledger_->ended_under(work);
  std::cout << "upstream " << id << " ended under " << work << ", form " << static_cast<int>(form) << "\n";
  dead_ = form != harmful_form::reused && form != harmful_form::silent;
  silent_ = form == harmful_form::silent;
  running_id_ = form == harmful_form::reused ? "process-after-" + id : id;
  if (form == harmful_form::closes || form == harmful_form::late) {
    close_port();
  }
  if (!silent_) {
    for (const auto& connection : std::exchange(connections_, {})) {
      connection->close();
    }
  }
  if (on_ended_) {
    on_ended_();
  }
}

auto upstream_stand_in::stream(const std::string& id, int events, bool breaks, http_response head,
                               server_connection& connection) -> task<bool> {
  auto made = std::string{};
  head.set(http::field::content_type, "text/event-stream");
  co_await connection.write_head(std::move(head));
  co_await pause_for(*loop_, first_event_ms);
  for (auto number = 1; number <= events; ++number) {
    auto bytes = event_bytes(id, number);
    auto written = co_await connection.write_piece(bytes);
    if (!written || dead_ || (breaks && number == events)) {
      co_return false;
    }
    made += bytes;
    co_await pause_for(*loop_, event_gap_ms);
  }
  ledger_->answered(id, made, true);
  co_return co_await connection.write_end();
}

}  // namespace birchlever::soak
