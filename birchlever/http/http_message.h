/// HTTP messages as the event loop's connections read and write them.
#pragma once

#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "birchlever/core/clock.h"

namespace birchlever {

namespace http = boost::beast::http;

/// A whole request: method, target and body stay byte for byte as they were read.
using http_request = http::request<http::string_body>;

/// A whole answer.
using http_response = http::response<http::string_body>;

/// A text as Beast takes it.
[[nodiscard]] inline auto to_beast(std::string_view text) -> boost::beast::string_view {
  return {text.data(), text.size()};
}

/// The value of a field, or an empty text.
[[nodiscard]] auto field_of(const http::fields& fields, std::string_view name) -> std::string_view;

/// Removes what concerns one connection only: Connection, what it names, Transfer-Encoding and their kin.
auto remove_hop_by_hop(http::fields& fields) -> void;

/// The seconds of a Keep-Alive field's timeout, in ms; nothing when it has none.
[[nodiscard]] auto keep_alive_ms(const http::fields& fields) -> std::optional<milliseconds>;

/// How a status code ends or continues a response, in a client that asks for no change of protocol.
enum class status_kind {
  interim,  ///< Another response to the same request follows.
  final,
  invalid  ///< No status of the protocol: what was received is not a response.
};

/// Returns the kind of a status code (RFC 9110, section 15).
[[nodiscard]] auto kind_of_status(unsigned status) -> status_kind;

/// True if a reader can undo the transfer codings of a message and find its end: the list names chunked, once
/// and nothing else (RFC 9112, sections 6.1 and 6.3). Takes the fields' values, joined by commas.
[[nodiscard]] auto is_supported_coding(std::string_view transfer_encoding) -> bool;

/// True if no body follows the head of a response, whatever its fields say (RFC 9112, section 6.3).
[[nodiscard]] auto has_no_body(const http::response_header<>& head) -> bool;

/// True if a body that follows this head can be read. A response of HTTP/1.0 may have no transfer coding at
/// all.
[[nodiscard]] auto has_readable_body(const http::response_header<>& head) -> bool;

/// True if a text is a token, as the name of a field must be (RFC 9110, section 5.6.2).
[[nodiscard]] auto is_token(std::string_view text) -> bool;

/// A whole number of at least 0; nothing when the text is anything else.
[[nodiscard]] auto parse_count(std::string_view text) -> std::optional<std::int64_t>;

}  // namespace birchlever
