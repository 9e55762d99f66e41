/// HTTP/1.1 over blocking loopback sockets, for the stand-ins and clients of the review's cases.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// Milliseconds on the steady clock.
[[nodiscard]] auto now_ms() -> std::int64_t;

/// Sleeps for this many milliseconds.
auto sleep_ms(std::int64_t duration) -> void;

/// Header fields with names in lower case.
using header_map = std::map<std::string, std::string>;

/// The head of a request or an answer, and its body.
struct message {
  std::string start_line_;
  header_map headers_;
  std::string body_;

  /// The second word of the start line: a request's target or an answer's status.
  [[nodiscard]] auto second_word() const -> std::string;
  /// The status of an answer; 0 if there is none.
  [[nodiscard]] auto status() const -> int;
  /// A header's content, or an empty text.
  [[nodiscard]] auto header(const std::string& name) const -> std::string;
};

/// One TCP connection, used by one thread.
class connection {
 public:
  explicit connection(int descriptor) : descriptor_{descriptor} {}
  ~connection();
  connection(const connection&) = delete;
  auto operator=(const connection&) -> connection& = delete;

  /// Connects to "ip:port" within the limit. Null if that fails.
  static auto open(const std::string& address, std::int64_t limit_ms) -> std::unique_ptr<connection>;

  /// Writes all bytes. False if the peer is gone.
  auto write(const std::string& bytes) -> bool;

  /// Reads a head; nothing after the limit or at the end of the connection.
  auto read_head(std::int64_t limit_ms) -> std::optional<message>;

  /// Reads a body that has a length or comes in chunks, handing each piece to the function. False if it is
  /// not whole at the limit or at the end of the connection.
  auto read_body(const message& head, std::int64_t limit_ms,
                 const std::function<void(const std::string&)>& piece) -> bool;

  /// Reads a head and its whole body.
  auto read_message(std::int64_t limit_ms) -> std::optional<message>;

  /// True when the peer has closed or reset the connection.
  auto peer_gone() -> bool;

 private:
  auto fill(std::int64_t due) -> bool;
  auto take(std::size_t count, std::int64_t due) -> std::optional<std::string>;
  auto take_line(std::int64_t due) -> std::optional<std::string>;

  int descriptor_;
  std::string buffer_;
};

/// Accepts connections on a loopback address; each is served by a thread of its own until the process ends.
class listener {
 public:
  using serve_function = std::function<void(connection&)>;

  /// Listens on ip:port; port 0 takes a free one. Exits with status 2 if that fails.
  listener(const std::string& ip, serve_function serve);

  /// The address as "ip:port".
  [[nodiscard]] auto address() const -> std::string { return address_; }

 private:
  std::string address_;
};

/// Free TCP ports of this loopback address, no two alike.
[[nodiscard]] auto free_ports(const std::string& ip, int count) -> std::vector<int>;

/// The bytes of an answer with a length.
[[nodiscard]] auto answer_bytes(int status, const header_map& headers, const std::string& body)
    -> std::string;

/// One chunk of a chunked body.
[[nodiscard]] auto chunk_bytes(const std::string& piece) -> std::string;

/// Ends the process with status 2: the case could not run.
[[noreturn]] auto cannot_run(const std::string& reason) -> void;

}  // namespace review
