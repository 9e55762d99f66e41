#include "birchlever/storage/http_connection_pool.h"

#include <httplib.h>

#include "birchlever/core/test_switches.h"
#include "birchlever/storage/response_check.h"

namespace birchlever {
namespace {

auto send(httplib::Client& client, const std::string& method, const std::string& path,
          const std::string& body, const httplib::Headers& headers) -> httplib::Result {
  auto request = httplib::Request{};
  request.method = method;
  request.path = path;
  request.headers = headers;
  request.body = body;
  if (!body.empty()) {
    request.set_header("Content-Type", "application/json");
  }
  return client.send(request);
}

/// Returns true for failures to connect, after which the request was certainly not sent.
auto is_connection_failure(httplib::Error failure) -> bool {
  return failure == httplib::Error::Connection || failure == httplib::Error::ConnectionTimeout;
}

}  // namespace

auto parse_endpoint(const std::string& text) -> result<endpoint> {
  auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return error{error_code::invalid_setting, "address '" + text + "' does not have the form ip:port"};
  }
  auto digits = text.substr(colon + 1);
  auto numeric =
      !digits.empty() && digits.size() <= 5 && digits.find_first_not_of("0123456789") == std::string::npos;
  auto port = numeric ? std::stoi(digits) : 0;
  if (port < 1 || port > 65535) {
    return error{error_code::invalid_setting, "address '" + text + "' has no port from 1 to 65535"};
  }
  return endpoint{text.substr(0, colon), port};
}

auto http_connection_pool::create(const http_pool_settings& settings, std::string link_name)
    -> result<std::shared_ptr<http_connection_pool>> {
  if (settings.connect_timeout_ < 1 || settings.response_timeout_ < 1) {
    return error{error_code::invalid_setting, "HTTP timeouts must be at least 1 ms"};
  }
  return std::shared_ptr<http_connection_pool>{new http_connection_pool{settings, std::move(link_name)}};
}

http_connection_pool::http_connection_pool(const http_pool_settings& settings, std::string link_name)
    : settings_{settings}, link_name_{std::move(link_name)} {}

http_connection_pool::~http_connection_pool() = default;

auto http_connection_pool::link_of(const endpoint& target) const -> std::string {
  return link_name_.empty() ? target.text() : link_name_;
}

auto http_connection_pool::acquire(const endpoint& target) -> result<std::unique_ptr<httplib::Client>> {
  if (test_switches::instance().link(link_of(target)) == link_state::cut) {
    return error{error_code::upstream_refused, "link to " + target.text() + " is cut by a test switch"};
  }
  {
    auto lock = std::lock_guard{mutex_};
    auto& idle = idle_[target.text()];
    if (!idle.empty()) {
      auto client = std::move(idle.back());
      idle.pop_back();
      return client;
    }
  }
  auto client = std::make_unique<httplib::Client>(target.host_, target.port_);
  client->set_connection_timeout(std::chrono::milliseconds{settings_.connect_timeout_});
  client->set_read_timeout(std::chrono::milliseconds{settings_.response_timeout_});
  client->set_write_timeout(std::chrono::milliseconds{settings_.response_timeout_});
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  return client;
}

auto http_connection_pool::release(const endpoint& target, std::unique_ptr<httplib::Client> client) -> void {
  auto lock = std::lock_guard{mutex_};
  auto& idle = idle_[target.text()];
  if (idle.size() < settings_.idle_per_endpoint_) {
    idle.push_back(std::move(client));
  }
}

auto http_connection_pool::forget(const endpoint& target) -> void {
  auto closed = std::vector<std::unique_ptr<httplib::Client>>{};  // Destroyed without the lock.
  auto lock = std::lock_guard{mutex_};
  closed.swap(idle_[target.text()]);
}

auto http_connection_pool::request(const endpoint& target, const std::string& method, const std::string& path,
                                   const std::string& body, const std::map<std::string, std::string>& headers)
    -> result<buffered_response> {
  auto borrowed = acquire(target);
  if (!ok(borrowed)) {
    return failure(borrowed);
  }
  auto client = std::move(value(borrowed));
  auto outcome = send(*client, method, path, body, {headers.begin(), headers.end()});
  auto lost = test_switches::instance().link(link_of(target)) == link_state::answers_lost;
  auto answered = outcome && !lost && is_valid_response(*outcome);
  if (answered) {
    auto response = buffered_response{outcome->status, std::move(outcome->body)};
    release(target, std::move(client));
    return response;
  }
  if (!outcome && !lost && is_connection_failure(outcome.error())) {
    return error{error_code::upstream_refused, "no connection to " + target.text()};
  }
  forget(target);
  return error{error_code::upstream_timeout, "no response from " + target.text(), ran_state::outcome_unknown};
}

}  // namespace birchlever
