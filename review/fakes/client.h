/// A client: one request on a connection of its own.
#pragma once

#include "http_server.h"

#include <map>
#include <optional>
#include <string>

#include "http_server.h"
#include "record.h"

namespace review {

/// What a client saw of an answer.
struct outcome {
  unsigned status_ = 0;  ///< 0: the connection ended, or the time, before a head came.
  std::string body_;
  bool whole_ = false;
  std::string signature_;
  std::string retry_after_;  ///< In seconds; may be empty.
  long took_ms_ = 0;
  std::string detail_;  ///< Why it is not whole.
};

using headers = std::map<std::string, std::string>;

/// Sends a request and reads its answer.
inline auto send(const std::string& ip, unsigned short port, http::verb method, const std::string& target,
                 const headers& fields, const std::string& body, long limit_ms = 10'000) -> outcome {
  auto seen = outcome{};
  auto started = now_ms();
  auto context = asio::io_context{};
  auto stream = boost::beast::tcp_stream{context};
  auto code = boost::system::error_code{};
  auto run = [&] {
    context.restart();
    context.run();
  };
  stream.expires_after(std::chrono::milliseconds{limit_ms});
  stream.async_connect(tcp::endpoint{asio::ip::make_address(ip), port},
                       [&](const boost::system::error_code& result) { code = result; });
  run();
  auto call = request{method, target, 11};
  for (const auto& [name, value] : fields) {
    call.set(name, value);
  }
  call.body() = body;
  if (method != http::verb::get) {
    call.prepare_payload();
  }
  if (!code) {
    http::async_write(stream, call,
                      [&](const boost::system::error_code& result, std::size_t) { code = result; });
    run();
  }
  auto buffer = boost::beast::flat_buffer{};
  auto parser = http::response_parser<http::string_body>{};
  constexpr auto max_body = 64U << 20U;
  parser.body_limit(max_body);
  if (!code) {
    http::async_read(stream, buffer, parser,
                     [&](const boost::system::error_code& result, std::size_t) { code = result; });
    run();
  }
  seen.took_ms_ = now_ms() - started;
  if (parser.is_header_done()) {
    seen.status_ = parser.get().result_int();
    seen.signature_ = std::string{parser.get()["X-Response-Signature"]};
    seen.retry_after_ = std::string{parser.get()["Retry-After"]};
  }
  seen.body_ = parser.get().body();
  seen.whole_ = parser.is_done() && !code;
  seen.detail_ = code ? code.message() : "";
  return seen;
}

}  // namespace review
