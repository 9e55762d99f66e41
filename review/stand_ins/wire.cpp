#include "wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>

namespace review {
namespace {

constexpr auto read_size = std::size_t{65536};
constexpr auto backlog = 512;

auto lower(std::string text) -> std::string {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char one) { return std::tolower(one); });
  return text;
}

auto trimmed(const std::string& text) -> std::string {
  auto begin = text.find_first_not_of(" \t");
  auto end = text.find_last_not_of(" \t\r");
  return begin == std::string::npos ? std::string{} : text.substr(begin, end - begin + 1);
}

auto socket_address(const std::string& ip, int port) -> sockaddr_in {
  auto made = sockaddr_in{};
  made.sin_family = AF_INET;
  made.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &made.sin_addr);
  return made;
}

auto bound_port(int descriptor) -> int {
  auto bound = sockaddr_in{};
  auto size = static_cast<socklen_t>(sizeof bound);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

auto bind_to(int descriptor, const std::string& ip) -> bool {
  auto address = socket_address(ip, 0);
  return bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
}

auto send_promptly(int descriptor) -> void {
  auto on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

auto now_ms() -> std::int64_t {
  auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

auto sleep_ms(std::int64_t duration) -> void {
  std::this_thread::sleep_for(std::chrono::milliseconds{std::max<std::int64_t>(duration, 0)});
}

auto cannot_run(const std::string& reason) -> void {
  std::cerr << "the case could not run: " << reason << std::endl;
  std::_Exit(2);
}

auto message::second_word() const -> std::string {
  auto begin = start_line_.find(' ');
  if (begin == std::string::npos) {
    return {};
  }
  return start_line_.substr(begin + 1, start_line_.find(' ', begin + 1) - begin - 1);
}

auto message::status() const -> int {
  return std::atoi(second_word().c_str());
}

auto message::header(const std::string& name) const -> std::string {
  auto found = headers_.find(lower(name));
  return found == headers_.end() ? std::string{} : found->second;
}

connection::~connection() {
  close(descriptor_);
}

auto connection::open(const std::string& address, std::int64_t limit_ms) -> std::unique_ptr<connection> {
  auto colon = address.rfind(':');
  auto target = socket_address(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
  auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto limit = timeval{limit_ms / 1000, (limit_ms % 1000) * 1000};
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  auto made = std::make_unique<connection>(descriptor);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
    return nullptr;
  }
  send_promptly(descriptor);
  return made;
}

auto connection::write(const std::string& bytes) -> bool {
  auto sent = std::size_t{0};
  while (sent < bytes.size()) {
    auto count = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

auto connection::fill(std::int64_t due) -> bool {
  auto left = due - now_ms();
  auto waiting = pollfd{descriptor_, POLLIN, 0};
  if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  auto bytes = std::string(read_size, '\0');
  auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes, 0, static_cast<std::size_t>(count));
  return true;
}

auto connection::take(std::size_t count, std::int64_t due) -> std::optional<std::string> {
  while (buffer_.size() < count) {
    if (!fill(due)) {
      return std::nullopt;
    }
  }
  auto taken = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return taken;
}

auto connection::take_line(std::int64_t due) -> std::optional<std::string> {
  auto end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!fill(due)) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n");
  }
  auto line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

auto connection::read_head(std::int64_t limit_ms) -> std::optional<message> {
  auto due = now_ms() + limit_ms;
  auto start = take_line(due);
  if (!start) {
    return std::nullopt;
  }
  auto head = message{};
  head.start_line_ = *start;
  while (true) {
    auto line = take_line(due);
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      return head;
    }
    auto colon = std::min(line->find(':'), line->size() - 1);
    head.headers_[lower(line->substr(0, colon))] = trimmed(line->substr(colon + 1));
  }
}

auto connection::read_body(const message& head, std::int64_t limit_ms,
                           const std::function<void(const std::string&)>& piece) -> bool {
  auto due = now_ms() + limit_ms;
  if (lower(head.header("Transfer-Encoding")) != "chunked") {
    auto length = static_cast<std::size_t>(std::atoll(head.header("Content-Length").c_str()));
    auto whole = take(length, due);
    if (whole && !whole->empty()) {
      piece(*whole);
    }
    return whole.has_value();
  }
  while (true) {
    auto line = take_line(due);
    if (!line) {
      return false;
    }
    auto length = std::strtoull(line->c_str(), nullptr, 16);
    auto chunk = take(length + 2, due);
    if (!chunk) {
      return false;
    }
    if (length == 0) {
      return true;
    }
    piece(chunk->substr(0, length));
  }
}

auto connection::read_message(std::int64_t limit_ms) -> std::optional<message> {
  auto due = now_ms() + limit_ms;
  auto read = read_head(limit_ms);
  if (!read) {
    return std::nullopt;
  }
  auto whole = read_body(*read, std::max<std::int64_t>(due - now_ms(), 1),
                         [&](const std::string& piece) { read->body_ += piece; });
  return whole ? read : std::nullopt;
}

auto connection::peer_gone() -> bool {
  auto byte = char{};
  auto seen = recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return seen == 0 || (seen < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

listener::listener(const std::string& ip, serve_function serve) {
  auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!bind_to(descriptor, ip) || listen(descriptor, backlog) != 0) {
    cannot_run("no listener on " + ip);
  }
  address_ = ip + ":" + std::to_string(bound_port(descriptor));
  auto accept_all = [descriptor, serve = std::move(serve)] {
    while (true) {
      auto accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      send_promptly(accepted);
      std::thread{[accepted, serve] {
        auto served = connection{accepted};
        serve(served);
      }}.detach();
    }
  };
  std::thread{accept_all}.detach();
}

auto free_ports(const std::string& ip, int count) -> std::vector<int> {
  auto held = std::vector<int>{};
  auto ports = std::vector<int>{};
  for (auto number = 0; number < count; ++number) {
    held.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (!bind_to(held.back(), ip)) {
      cannot_run("no free port on " + ip);
    }
    ports.push_back(bound_port(held.back()));
  }
  for (auto descriptor : held) {
    close(descriptor);
  }
  return ports;
}

auto answer_bytes(int status, const header_map& headers, const std::string& body) -> std::string {
  auto text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, content] : headers) {
    text += name + ": " + content + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto chunk_bytes(const std::string& piece) -> std::string {
  auto length = std::array<char, 32>{};
  std::snprintf(length.data(), length.size(), "%zx\r\n", piece.size());
  return length.data() + piece + "\r\n";
}

}  // namespace review
