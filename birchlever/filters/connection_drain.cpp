#include "birchlever/filters/connection_drain.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <thread>
#include <utility>

#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto handshake_wait = std::chrono::milliseconds{20};  // Exceeds a round trip within a data hall.
constexpr auto poll_interval = std::chrono::milliseconds{2};
constexpr auto tcp_flags_offset = 13;
constexpr auto tcp_syn_flag = 0x02;
constexpr auto whole_packet = 0xffffffffU;

/// Set while the current pool thread handles a connection whose first request has not been read.
thread_local auto request_unread = false;

auto mark_read(std::atomic<std::int64_t>& unread) -> void {
  if (std::exchange(request_unread, false)) {
    --unread;
  }
}

/// Binds the socket to a free port and returns that port, or 0 on failure.
auto bind_to_free_port(socket_t socket) -> std::uint16_t {
  auto address = sockaddr_in{};
  auto length = socklen_t{sizeof(address)};
  address.sin_family = AF_INET;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  auto bound = bind(socket, generic, length) == 0 && getsockname(socket, generic, &length) == 0;
  return bound ? ntohs(address.sin_port) : std::uint16_t{0};
}

}  // namespace

/// Counts connections from their acceptance until their first request has been read.
class connection_drain::counting_pool final : public httplib::TaskQueue {
 public:
  counting_pool(std::size_t threads, std::atomic<std::int64_t>& unread) : pool_{threads}, unread_{unread} {}

  auto enqueue(std::function<void()> handle_connection) -> void override {
    ++unread_;
    pool_.enqueue([this, handle = std::move(handle_connection)] {
      request_unread = true;
      handle();
      mark_read(unread_);  // The caller may have closed the connection without a request.
    });
  }

  auto shutdown() -> void override { pool_.shutdown(); }

 private:
  httplib::ThreadPool pool_;
  std::atomic<std::int64_t>& unread_;
};

connection_drain::connection_drain(httplib::Server& server, std::size_t threads) {
  server.new_task_queue = [this, threads] { return new counting_pool(threads, unread_); };
  server.set_socket_options([this](socket_t listener) {
    httplib::default_socket_options(listener);
    listener_ = listener;
  });
  server.set_pre_routing_handler([this](const httplib::Request&, httplib::Response&) {
    mark_read(unread_);
    return httplib::Server::HandlerResponse::Unhandled;
  });
}

/// Drops connection requests (SYN) unless they come from `source_port`. Handshakes in progress still
/// complete.
auto connection_drain::admit_only(std::uint16_t source_port) const -> void {
  auto code = std::array<sock_filter, 6>{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcp_flags_offset),
      BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, tcp_syn_flag, 0, 2),
      BPF_STMT(BPF_LD | BPF_H | BPF_ABS, 0),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, source_port, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, whole_packet),
      BPF_STMT(BPF_RET | BPF_K, 0),
  }};
  auto program = sock_fprog{static_cast<unsigned short>(code.size()), code.data()};
  if (setsockopt(listener_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) != 0) {
    log_event(log_level::warning, "new_connections_not_blocked", {{"errno", std::int64_t{errno}}});
  }
}

auto connection_drain::finish(const std::string& host, int port, milliseconds max_wait) -> void {
  auto give_up_at = std::chrono::steady_clock::now() + std::chrono::milliseconds{max_wait};
  // The server accepts and starts connections in order of arrival: once it has answered the last one
  // admitted, it has started all others.
  auto last = httplib::Client{host, port};
  last.set_connection_timeout(std::chrono::milliseconds{max_wait});
  last.set_read_timeout(std::chrono::milliseconds{max_wait});
  last.set_socket_options([this](socket_t socket) {
    admit_only(bind_to_free_port(socket));
    std::this_thread::sleep_for(handshake_wait);
  });
  (void)last.Get("/healthz");
  while (unread_ > 0 && std::chrono::steady_clock::now() < give_up_at) {
    std::this_thread::sleep_for(poll_interval);
  }
  if (unread_ > 0) {
    log_event(log_level::warning, "connections_closed_unread", {{"connections", unread_.load()}});
  }
}

}  // namespace birchlever
