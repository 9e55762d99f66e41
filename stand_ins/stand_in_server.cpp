#include "stand_ins/stand_in_server.h"

#include <signal.h>

#include <nlohmann/json.hpp>
#include <thread>

namespace birchlever::stand_ins {
namespace {

constexpr auto threads = std::size_t{256};
constexpr auto keep_alive_requests = std::size_t{10000000};
constexpr auto keep_alive_seconds = 3600;

}  // namespace

stand_in_server::stand_in_server() {
  server_.new_task_queue = [] { return new httplib::ThreadPool(threads); };
  server_.set_keep_alive_max_count(keep_alive_requests);
  server_.set_keep_alive_timeout(keep_alive_seconds);
  server_.set_tcp_nodelay(true);
  server_.Post("/control", [this](const httplib::Request& request, httplib::Response& response) {
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
      response.status = 400;
      return;
    }
    for (const auto& [name, level] : body.items()) {
      faults_.set(name, level.is_number() ? level.get<double>() : 0);
    }
    response.set_content("{}", "application/json");
  });
  server_.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("{}", "application/json");
  });
}

auto stand_in_server::serve(const std::string& host, int port) -> bool {
  auto signals = sigset_t{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  if (!server_.bind_to_port(host.c_str(), port)) {
    return false;
  }
  auto listening = std::thread{[this] { server_.listen_after_bind(); }};
  auto received = 0;
  sigwait(&signals, &received);
  _exit(0);  // Keeps nothing; connections that idle would hold up an orderly end.
}

}  // namespace birchlever::stand_ins
