#include "unit_tests/gateway/gateway_fixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

namespace birchlever::test {
namespace {

constexpr auto engine_service = "chat";
constexpr auto tool_service = "tool";
constexpr auto silence = milliseconds{3000};
constexpr auto max_body_bytes = std::size_t{1U << 25U};

auto make_route(const std::string& prefix, route_kind kind, const std::string& service, bool retains_turns)
    -> route {
  auto created = route{};
  created.name_ = prefix;
  created.host_ = "h.example";
  created.path_prefix_ = prefix;
  created.kind_ = kind;
  created.services_ = {{service, 1}};
  created.time_limit_ = 1500;
  created.max_upstreams_ = 2;
  created.retains_turns_ = retains_turns;
  created.retention_ = 60000;
  return created;
}

auto event_text(int number) -> std::string {
  return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
}

}  // namespace

auto header_of(const received_request& received, const std::string& name) -> std::string {
  auto found = received.headers_.find(name);
  return found == received.headers_.end() ? std::string{} : found->second;
}

gateway_fixture::gateway_fixture() : rows_{std::make_shared<memory_row_store>(loop_)} {
  configuration_.version_ = 1;
  auto resumable = make_route("/resume/", route_kind::streaming, engine_service, false);
  resumable.resumable_ = true;
  configuration_.routes_ = {make_route("/turn/", route_kind::streaming, engine_service, true),
                            make_route("/brief/", route_kind::streaming, engine_service, false), resumable,
                            make_route("/safe/", route_kind::safe, tool_service, false),
                            make_route("/unsafe/", route_kind::unsafe, tool_service, false)};
  auto engines = service_description{};
  engines.name_ = engine_service;
  engines.health_path_ = "/healthz";
  engines.engine_ = engine_capacity{8, 100000, 4};
  configuration_.services_[engine_service] = engines;
  configuration_.services_[tool_service] = service_description{tool_service, "/healthz", 8, std::nullopt};
  context_ = make_context();
  contexts_ = {context_};
  for (const auto* name : {"engine-1", "engine-2", "tool-1", "tool-2"}) {
    start_upstream(name, std::string{name}.substr(0, 4) == "tool" ? tool_service : engine_service);
  }
  open_gateway();
  server_ = servers_.front();
  REQUIRE(run_until([&] { return registers_.front()->primed(); }));
}

gateway_fixture::~gateway_fixture() {
  for (const auto& server : servers_) {
    server->stop_accepting();
  }
  for (const auto& [name, upstream] : upstreams_) {
    if (upstream.listener_) {
      upstream.listener_->stop();
    }
  }
  run_for(20);
}

auto gateway_fixture::add_upstream(const std::string& id, const std::string& service, unsigned short port,
                                   bool leaving) -> void {
  auto entry = upstream_entry{};
  entry.id_ = id;
  entry.service_ = service;
  entry.address_ = {asio::ip::address_v4::loopback(), port};
  entry.data_hall_ = "hall-a";
  entry.slots_ = 8;
  entry.leaving_ = leaving;
  for (const auto& context : contexts_) {
    context->upstreams_->put(entry);
  }
  upstreams_[id].entry_ = std::move(entry);
}

auto gateway_fixture::set_accounts(std::vector<client_account> accounts) -> void {
  auto accounts_registry = account_registry::create(std::move(accounts));
  REQUIRE(ok(accounts_registry));
  configuration_.accounts_ = value(accounts_registry);
  ++configuration_.version_;
  context_->configuration_ = std::make_shared<const serving_configuration>(configuration_);
}

auto gateway_fixture::run_for(milliseconds duration) -> void {
  loop_.restart();
  loop_.run_for(std::chrono::milliseconds{duration});
}

auto gateway_fixture::write_stream(script script_to_run, const http_request& request, http_response head,
                                   server_connection& connection) -> task<bool> {
  head.set(http::field::content_type, "text/event-stream");
  co_await connection.write_head(std::move(head));
  auto last = parse_count(field_of(request, "Last-Event-Id")).value_or(0);
  for (auto number = static_cast<int>(last) + 1; number <= script_to_run.events_; ++number) {
    auto skipped = script_to_run.kind_ == script::kind::skip_event && number == 2;
    if (!skipped) {
      co_await connection.write_piece(event_text(number));
    }
    auto late = late_copies_.find(&connection);
    if (late != late_copies_.end() && late->second.script_.copy_ == script::copy::in_stream) {
      auto copy = std::move(late_copies_.extract(late).mapped());
      co_await run_script("", copy.script_, copy.request_, connection);
    }
  }
  if (script_to_run.kind_ == script::kind::cut_stream) {
    co_await connection.write_piece("id: 9\ndata: ha");
    co_return false;
  }
  co_return co_await connection.write_end();
}

auto gateway_fixture::run_script(const std::string& name, script script_to_run, const http_request& request,
                                 server_connection& connection) -> task<bool> {
  auto id = std::string{field_of(request, "X-Request-Id")};
  auto answer = http_response{static_cast<http::status>(script_to_run.status_), 11};
  if (script_to_run.kind_ != script::kind::no_id) {
    answer.set("X-Request-Id", script_to_run.kind_ == script::kind::wrong_id ? "another" : id);
  }
  if (script_to_run.kind_ != script::kind::no_proof) {
    answer.set("X-Response-Signature", "proof-of-" + id);
  }
  answer.keep_alive(true);
  switch (script_to_run.kind_) {
    case script::kind::refuse:
      if (script_to_run.status_ == 200) {
        answer.result(http::status::service_unavailable);
      }
      answer.set("X-Not-Executed", "1");
      answer.erase("X-Response-Signature");
      break;
    case script::kind::no_response:
      co_await pause_for(loop_, silence);
      co_return false;
    case script::kind::reset:
      co_return false;
    case script::kind::end_process:
      co_await pause_for(loop_, ends_after_);
      end_upstream(name);
      co_await pause_for(loop_, upstreams_.at(name).silent_ ? silence : 0);
      co_return false;
    case script::kind::garbage:
      co_await connection.write_piece("this is no answer");
      co_return false;
    case script::kind::interim:
      for (auto number = 0; number < script_to_run.events_; ++number) {
        co_await connection.write(http_response{http::status::processing, 11});
      }
      break;
    case script::kind::cut_body:
      answer.content_length(100);
      co_await connection.write(std::move(answer));
      co_return false;
    case script::kind::stream:
    case script::kind::cut_stream:
    case script::kind::skip_event:
      co_return co_await write_stream(script_to_run, request, std::move(answer), connection);
    case script::kind::no_id:
      if (answer.result() == http::status::service_unavailable) {
        answer.set("X-Not-Executed", "1");
      }
      break;
    case script::kind::answer:
    case script::kind::no_proof:
    case script::kind::wrong_id:
      break;
  }
  answer.body() = "answer to " + id;
  answer.prepare_payload();
  co_return co_await connection.write(std::move(answer));
}

auto gateway_fixture::respond(const std::string& name, script script_to_run, const http_request& request,
                              server_connection& connection) -> task<bool> {
  auto late = late_copies_.find(&connection);
  if (late != late_copies_.end() && late->second.script_.copy_ == script::copy::before_next) {
    auto copy = std::move(late_copies_.extract(late).mapped());
    co_await run_script(name, copy.script_, copy.request_, connection);
  }
  auto keep_open = co_await run_script(name, script_to_run, request, connection);
  if (script_to_run.copy_ == script::copy::at_once) {
    co_await run_script(name, script_to_run, request, connection);
  } else if (script_to_run.copy_ != script::copy::none) {
    late_copies_[&connection] = {script_to_run, request};
  }
  co_return keep_open;
}

auto gateway_fixture::serve_upstream(std::string name, std::shared_ptr<server_connection> connection)
    -> task<> {
  auto limits = request_limits{};
  auto keep_open = true;
  upstreams_.at(name).connections_.insert(connection);
  while (keep_open) {
    auto read = co_await connection->read_request(limits);
    auto* request = std::get_if<http_request>(&read);
    if (request != nullptr && upstreams_.at(name).silent_) {
      co_await pause_for(loop_, silence);
    }
    if (request == nullptr || upstreams_.at(name).held_ || upstreams_.at(name).silent_) {
      break;
    }
    auto served = co_await serve_without_running(upstreams_.at(name), *request, *connection);
    if (served) {
      continue;
    }
    auto received = received_request{name, std::string{request->target()}, request->body(), {}};
    for (const auto& field : *request) {
      received.headers_[std::string{field.name_string()}] = std::string{field.value()};
    }
    seen_.push_back(std::move(received));
    auto script_to_run = script{};
    script_to_run.kind_ = name[0] == 'e' ? script::kind::stream : script::kind::answer;
    auto harmful = (!harmful_text_.empty() && request->body().find(harmful_text_) != std::string::npos) ||
                   request->count(harmful_header) != 0;
    if (harmful) {
      script_to_run.kind_ = script::kind::end_process;
    } else if (!scripts_.empty()) {
      script_to_run = scripts_.front();
      scripts_.pop_front();
    } else if (scripts_of_.count(name) != 0) {
      script_to_run = scripts_of_.at(name);
    }
    if (!harmful) {
      co_await pause_for(loop_, answer_delay_);
    }
    keep_open = co_await respond(name, script_to_run, *request, *connection);
  }
  late_copies_.erase(connection.get());
  upstreams_.at(name).connections_.erase(connection);
  connection->close();
}

auto gateway_fixture::exchange(std::string address, http_request request) -> task<received_response> {
  auto received = received_response{};
  auto parsed = parse_address(address);
  auto opened = co_await outgoing_connection::open(loop_, value(parsed), 500);
  if (std::holds_alternative<exchange_fault>(opened)) {
    co_return received;
  }
  auto connection = std::get<0>(opened);
  connection->send(std::make_shared<const http_request>(std::move(request)), patience_);
  auto head = co_await connection->read_head();
  if (std::holds_alternative<exchange_fault>(head)) {
    co_return received;
  }
  auto& answer = std::get<http_response>(head);
  received.status_ = static_cast<int>(answer.result_int());
  for (const auto& field : answer) {
    received.headers_[std::string{field.name_string()}] = std::string{field.value()};
  }
  auto last = false;
  while (!last && received.body_.size() < max_body_bytes) {
    auto read = co_await connection->read_piece();
    if (std::holds_alternative<exchange_fault>(read)) {
      break;
    }
    received.body_ += std::get<body_piece>(read).bytes_;
    last = std::get<body_piece>(read).last_;
  }
  received.complete_ = last;
  connection->abort();
  co_return received;
}

auto gateway_fixture::send_to(std::size_t gateway, const std::string& target,
                              const std::map<std::string, std::string>& headers, const std::string& body)
    -> std::shared_ptr<std::optional<received_response>> {
  auto request = http_request{body.empty() ? http::verb::get : http::verb::post, target, 11};
  request.set(http::field::host, "h.example");
  for (const auto& [name, content] : headers) {
    request.set(name, content);
  }
  request.body() = body;
  if (!body.empty()) {
    request.prepare_payload();
  }
  auto received = std::make_shared<std::optional<received_response>>();
  auto run = [](gateway_fixture& self, std::string address, http_request sent, auto into) -> task<> {
    *into = co_await self.exchange(std::move(address), std::move(sent));
  };
  start(loop_, "send", run(*this, addresses_.at(gateway), std::move(request), received));
  return received;
}

auto gateway_fixture::send(const std::string& target, const std::map<std::string, std::string>& headers,
                           const std::string& body) -> received_response {
  auto received = send_to(0, target, headers, body);
  REQUIRE(run_until([&] { return received->has_value(); }));
  return **received;
}

auto gateway_fixture::run_until(const std::function<bool()>& condition, milliseconds limit) -> bool {
  auto clock = steady_clock{};
  auto timeout_at = clock.now() + limit;
  loop_.restart();
  while (!condition() && clock.now() < timeout_at) {
    loop_.run_one_for(std::chrono::milliseconds{100});
  }
  return condition();
}

namespace {

/// Bytes received on a connection that may outlive the call that opened it.
struct received_bytes {
  std::string text_;
  bool done_ = false;
};

auto exchange_bytes(event_loop& loop, std::string address, std::string sent,
                    std::shared_ptr<received_bytes> into) -> task<> {
  auto parsed = parse_address(address);
  auto socket = asio::ip::tcp::socket{loop};
  auto code = boost::system::error_code{};
  co_await socket.async_connect(value(parsed), resume_with(code));
  co_await asio::async_write(socket, asio::buffer(sent), resume_with(code));
  auto buffer = std::array<char, 4096>{};
  while (!code) {
    auto read = co_await socket.async_read_some(asio::buffer(buffer), resume_with(code));
    into->text_.append(buffer.data(), read);
  }
  into->done_ = true;
}

}  // namespace

auto gateway_fixture::send_bytes(const std::string& bytes, milliseconds idle_timeout) -> std::string {
  auto reply = std::make_shared<received_bytes>();
  start(loop_, "send_bytes", exchange_bytes(loop_, addresses_.front(), bytes, reply));
  auto clock = steady_clock{};
  auto idle_deadline = clock.now() + idle_timeout;
  auto size = std::size_t{0};
  loop_.restart();
  while (!reply->done_ && clock.now() < idle_deadline) {
    loop_.run_one_for(std::chrono::milliseconds{20});
    if (reply->text_.size() != size) {
      size = reply->text_.size();
      idle_deadline = clock.now() + idle_timeout;
    }
  }
  return reply->text_;
}

auto gateway_fixture::turn(const std::string& id, const std::string& previous, const std::string& input,
                           const std::string& program, std::int64_t budget, std::int64_t max_tokens)
    -> received_response {
  auto headers = std::map<std::string, std::string>{{"X-Request-Id", id},
                                                    {"X-Program-Id", program},
                                                    {"X-Session-Id", "s1"},
                                                    {"X-Deadline-Ms", "1500"},
                                                    {"X-Token-Budget", std::to_string(budget)},
                                                    {"X-Token-Usage", "100," + std::to_string(max_tokens)}};
  if (!previous.empty()) {
    headers["X-Previous-Turn"] = previous;
  }
  return send("/turn/x", headers, input);
}

auto gateway_fixture::turn_without_history(const std::string& id, std::int64_t budget,
                                           const std::map<std::string, std::string>& more_headers)
    -> received_response {
  auto headers = std::map<std::string, std::string>{{"X-Request-Id", id},
                                                    {"X-Program-Id", "p2"},
                                                    {"X-Session-Id", "s2"},
                                                    {"X-Deadline-Ms", "1500"},
                                                    {"X-Token-Budget", std::to_string(budget)},
                                                    {"X-Token-Usage", "100,40"}};
  headers.insert(more_headers.begin(), more_headers.end());
  return send("/brief/x", headers, "whole prompt");
}

}  // namespace birchlever::test
