#include "birchlever/http/http_listener.h"

#include "birchlever/http/bind_failure.h"
#include "birchlever/http/connection_limit.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto backlog = 1024;
constexpr auto accept_pause = milliseconds{50};  // When descriptors run out; some are free again by then.
constexpr auto room_check_gap = milliseconds{10};
constexpr auto report_gap = milliseconds{5000};
constexpr auto highest_port = std::int64_t{65535};

}  // namespace

auto parse_address(const std::string& text) -> result<asio::ip::tcp::endpoint> {
  auto colon = text.rfind(':');
  auto digits = colon == std::string::npos ? std::string_view{} : std::string_view{text}.substr(colon + 1);
  auto port = parse_count(digits).value_or(0);
  auto code = boost::system::error_code{};
  auto ip = asio::ip::make_address_v4(text.substr(0, colon), code);
  if (code || port < 1 || port > highest_port) {
    return error{error_code::invalid_setting, "'" + text + "' is not ip:port"};
  }
  return asio::ip::tcp::endpoint{ip, static_cast<unsigned short>(port)};
}

http_listener::http_listener(event_loop& loop, serve_function serve, std::function<bool()> has_room)
    : loop_{&loop}, acceptor_{loop}, serve_{std::move(serve)}, has_room_{std::move(has_room)} {}

auto http_listener::create(event_loop& loop, const std::string& address, serve_function serve,
                           std::function<bool()> has_room) -> result<std::shared_ptr<http_listener>> {
  auto parsed = parse_address(address);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  auto made = std::shared_ptr<http_listener>{new http_listener{loop, std::move(serve), std::move(has_room)}};
  auto code = boost::system::error_code{};
  made->acceptor_.open(value(parsed).protocol(), code);
  if (!code) {
    made->acceptor_.set_option(asio::socket_base::reuse_address{true}, code);
  }
  if (!code) {
    made->acceptor_.bind(value(parsed), code);
  }
  if (!code) {
    made->acceptor_.listen(backlog, code);
  }
  if (code) {
    return bind_failure(address, code);
  }
  start(loop, "accept_all", made->accept_all());
  return made;
}

auto http_listener::stop() -> void {
  stopped_ = true;
  auto ignored = boost::system::error_code{};  // It may be closed already.
  acceptor_.close(ignored);
}

auto http_listener::wait_for_room() -> task<> {
  while (!stopped_ && has_room_ && !has_room_()) {
    co_await pause_for(*loop_, room_check_gap);
  }
}

auto http_listener::log_failed_accept(const boost::system::error_code& code) -> void {
  ++failed_accepts_;
  if (clock_.now() < next_report_at_) {
    return;
  }
  next_report_at_ = clock_.now() + report_gap;
  log_event(log_level::warning, "accept_failed",
            {{"detail", code.message()}, {"failures", std::exchange(failed_accepts_, 0)}});
}

auto http_listener::accept_all() -> task<> {
  auto self = shared_from_this();
  while (!stopped_) {
    co_await wait_for_room();
    auto code = boost::system::error_code{};
    auto socket = asio::ip::tcp::socket{*loop_};
    co_await acceptor_.async_accept(socket, resume_with(code));
    if (stopped_) {
      co_return;
    }
    if (code) {
      log_failed_accept(code);
      co_await pause_for(*loop_, accept_pause);
      continue;
    }
    start(*loop_, "serve", serve_(server_connection::create(*loop_, std::move(socket))));
  }
}

namespace {

/// Counts a connection towards a limit for as long as it is served.
class counted_connection {
 public:
  counted_connection(std::shared_ptr<connection_limit> limit, std::shared_ptr<server_connection> connection)
      : limit_{std::move(limit)}, connection_{std::move(connection)} {
    limit_->add(connection_);
  }
  ~counted_connection() { limit_->remove(connection_); }
  counted_connection(const counted_connection&) = delete;
  auto operator=(const counted_connection&) -> counted_connection& = delete;

 private:
  std::shared_ptr<connection_limit> limit_;
  std::shared_ptr<server_connection> connection_;
};

auto serve_pages_on(page_function page, std::shared_ptr<memory_budget> budget,
                    std::shared_ptr<connection_limit> limit, std::shared_ptr<server_connection> connection)
    -> task<> {
  auto counted = counted_connection{limit, connection};
  while (true) {
    limit->set_waiting(connection);
    auto limits = request_limits{};
    auto read = co_await connection->read_request(limits, budget);
    auto* request = std::get_if<http_request>(&read);
    if (request == nullptr) {
      break;
    }
    auto answer = co_await page(*request);
    answer.keep_alive(request->keep_alive());
    answer.prepare_payload();
    auto written = co_await connection->write(std::move(answer));
    if (!written || !request->keep_alive()) {
      break;
    }
  }
  co_await connection->linger_and_close();
}

}  // namespace

auto serve_pages(page_function page, std::shared_ptr<memory_budget> budget,
                 std::shared_ptr<connection_limit> limit) -> http_listener::serve_function {
  if (!limit) {
    limit = std::make_shared<connection_limit>();
  }
  return [page = std::move(page), budget = std::move(budget),
          limit = std::move(limit)](std::shared_ptr<server_connection> connection) {
    return serve_pages_on(page, budget, limit, std::move(connection));
  };
}

}  // namespace birchlever
