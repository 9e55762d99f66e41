#include "birchlever/upstream/upstream_exchange.h"

#include <httplib.h>

#include "birchlever/core/test_switches.h"
#include "birchlever/storage/response_check.h"

namespace birchlever {
namespace {

constexpr auto max_chunks = std::size_t{256};

}  // namespace

auto upstream_exchange::start(std::shared_ptr<http_connection_pool> pool, upstream_request request)
    -> std::unique_ptr<upstream_exchange> {
  auto exchange = std::unique_ptr<upstream_exchange>{new upstream_exchange{}};
  auto* self = exchange.get();
  exchange->thread_ =
      std::thread{[self, pool = std::move(pool), request = std::move(request)] { self->run(pool, request); }};
  return exchange;
}

upstream_exchange::~upstream_exchange() {
  cancel();
  if (thread_.joinable()) {
    thread_.join();
  }
}

auto upstream_exchange::run(const std::shared_ptr<http_connection_pool>& pool,
                            const upstream_request& request) -> void {
  auto borrowed = pool->acquire(request.target_);
  if (!ok(borrowed)) {
    finish(std::make_unique<error>(failure(borrowed)));
    return;
  }
  auto client = std::move(value(borrowed));
  auto message = httplib::Request{};
  message.method = request.method_;
  message.path = request.path_;
  message.body = request.body_;
  for (const auto& [name, content] : request.headers_) {
    message.set_header(name, content);
  }
  if (!request.body_.empty()) {
    message.set_header("Content-Type", request.content_type_);
  }
  message.response_handler = [this](const httplib::Response& response) {
    if (!is_valid_response(response)) {
      return false;  // Ends the exchange as interrupted: the upstream may have run the request.
    }
    on_status(response.status, response.get_header_value("Content-Type"));
    return true;
  };
  message.content_receiver = [this](const char* bytes, std::size_t length, std::uint64_t, std::uint64_t) {
    return on_bytes(bytes, length);
  };
  auto outcome = client->send(message);
  auto lost = test_switches::instance().link(request.target_.text()) == link_state::answers_lost;
  if (outcome && !lost) {
    pool->release(request.target_, std::move(client));
    finish(nullptr);
    return;
  }
  auto unsent = !lost && (outcome.error() == httplib::Error::Connection ||
                          outcome.error() == httplib::Error::ConnectionTimeout);
  if (!outcome && outcome.error() == httplib::Error::Read) {
    pool->forget(request.target_);
  }
  auto name = request.target_.text();
  finish(unsent ? std::make_unique<error>(
                      error{error_code::upstream_refused, "no connection to " + name, ran_state::not_run})
                : std::make_unique<error>(error{error_code::upstream_failed,
                                                "response of " + name + " was interrupted",
                                                ran_state::outcome_unknown}));
}

auto upstream_exchange::on_status(int status, std::string content_type) -> void {
  auto lock = std::lock_guard{mutex_};
  status_ = status;
  content_type_ = std::move(content_type);
  changed_.notify_all();
}

auto upstream_exchange::on_bytes(const char* bytes, std::size_t length) -> bool {
  auto lock = std::unique_lock{mutex_};
  changed_.wait(lock, [this] { return chunks_.size() < max_chunks || cancelled_; });
  if (cancelled_) {
    return false;
  }
  chunks_.emplace_back(bytes, length);
  changed_.notify_all();
  return true;
}

auto upstream_exchange::finish(std::unique_ptr<error> cause) -> void {
  auto lock = std::lock_guard{mutex_};
  error_ = std::move(cause);
  finished_ = true;
  changed_.notify_all();
}

auto upstream_exchange::wait_status(milliseconds timeout) -> result<int> {
  auto lock = std::unique_lock{mutex_};
  auto ready = changed_.wait_for(lock, std::chrono::milliseconds{timeout},
                                 [this] { return status_ != 0 || finished_; });
  if (!ready) {
    return error{error_code::upstream_timeout, "upstream response timed out", ran_state::outcome_unknown};
  }
  if (status_ == 0) {
    return error_
               ? *error_
               : error{error_code::upstream_failed, "upstream sent no response", ran_state::outcome_unknown};
  }
  return status_;
}

auto upstream_exchange::next(milliseconds timeout) -> result<response_chunk> {
  auto lock = std::unique_lock{mutex_};
  auto ready = changed_.wait_for(lock, std::chrono::milliseconds{timeout},
                                 [this] { return !chunks_.empty() || finished_; });
  if (!ready) {
    return error{error_code::upstream_timeout, "upstream response stalled", ran_state::outcome_unknown};
  }
  if (!chunks_.empty()) {
    auto chunk = response_chunk{std::move(chunks_.front()), false};
    chunks_.pop_front();
    changed_.notify_all();
    return chunk;
  }
  if (error_) {
    return *error_;
  }
  return response_chunk{{}, true};
}

auto upstream_exchange::read_all(milliseconds timeout) -> result<std::string> {
  auto text = std::string{};
  while (true) {
    auto chunk = next(timeout);
    if (!ok(chunk)) {
      return failure(chunk);
    }
    if (value(chunk).end_) {
      return text;
    }
    text += value(chunk).bytes_;
  }
}

auto upstream_exchange::content_type() const -> std::string {
  auto lock = std::lock_guard{mutex_};
  return content_type_;
}

auto upstream_exchange::cancel() -> void {
  auto lock = std::lock_guard{mutex_};
  cancelled_ = true;
  changed_.notify_all();
}

}  // namespace birchlever
