/// Part of gateway_fixture that starts daemons, and starts and ends upstreams.
#include <catch2/catch.hpp>

#include "birchlever/gateway/crash_guard.h"
#include "unit_tests/gateway/gateway_fixture.h"
#include "unit_tests/http/free_port.h"

namespace birchlever::test {

auto gateway_fixture::make_context() -> std::shared_ptr<gateway_context> {
  auto context = std::make_shared<gateway_context>();
  context->loop_ = &loop_;
  context->dialect_ = std::make_shared<platform::header_dialect>();
  context->upstream_connections_ = connection_pool::create(loop_, {});
  context->freshness_ = std::make_shared<configuration_freshness>(loop_);
  context->upstreams_ = std::make_shared<upstream_directory>(upstream_directory_settings{"hall-a"});
  auto settings = program_store_settings{};
  settings.daemon_ += std::to_string(contexts_.size());
  auto programs = program_store::create(loop_, rows_, settings);
  REQUIRE(ok(programs));
  context->programs_ = value(programs);
  context->policies_ = std::make_shared<policy_registry>();
  context->metrics_ = std::make_shared<metrics>();
  context->engine_policy_ = "engines";
  context->service_policy_ = "services";
  context->policies_->load({{"engines", policy_settings{policy_kind::program_aware, {}}},
                            {"services", policy_settings{policy_kind::least_loaded, {}}}},
                           {});
  context->configuration_ = std::make_shared<const serving_configuration>(configuration_);
  for (const auto& [name, upstream] : upstreams_) {
    context->upstreams_->put(upstream.entry_);
  }
  auto owns = [](const std::string& /*fingerprint*/) { return true; };
  auto crashes = crash_register::create(loop_, rows_, {}, owns);
  crashes->on_publish([this, sender = crashes.get()](const send_record& record) {
    for (const auto& receiver : registers_) {
      if (peers_connected_ && receiver.get() != sender) {
        receiver->apply_peer_record(record);
      }
    }
  });
  registers_.push_back(crashes);
  context->crash_guard_ = crash_guard::create(*context, crashes, {});
  context->crash_guard_->set_contact_check(
      [this] { return peers_connected_ ? peer_contact::all : partition_side_; });
  return context;
}

auto gateway_fixture::open_gateway() -> void {
  addresses_.push_back("127.0.0.1:" + std::to_string(free_port(loop_)));
  auto server = gateway_server::create(contexts_.back(), addresses_.back());
  REQUIRE(ok(server));
  servers_.push_back(value(server));
}

auto gateway_fixture::add_gateway() -> std::size_t {
  contexts_.push_back(make_context());
  open_gateway();
  return contexts_.size() - 1;
}

auto gateway_fixture::start_upstream(const std::string& name, const std::string& service) -> void {
  auto port = free_port(loop_);
  auto listening = http_listener::create(
      loop_, "127.0.0.1:" + std::to_string(port),
      [this, name](auto connection) { return serve_upstream(name, std::move(connection)); });
  REQUIRE(ok(listening));
  add_upstream(name, service, port);
  upstreams_[name].listener_ = value(listening);
  upstreams_[name].id_ = name;
}

auto gateway_fixture::serve_without_running(const scripted_upstream& upstream, const http_request& request,
                                            server_connection& connection) -> task<bool> {
  auto answer = http_response{http::status::ok, 11};
  answer.keep_alive(true);
  auto expected = std::string{field_of(request, "X-Expect-Instance")};
  if (upstream.former_ids_.count(expected) != 0) {
    answer.result(http::status::misdirected_request);
    answer.set("X-Request-Id", std::string{field_of(request, "X-Request-Id")});
    answer.set("X-Not-Executed", "1");
  } else if (request.target() == "/healthz") {
    answer.set("X-Instance-Id", upstream.id_);
  } else {
    co_return false;
  }
  answer.prepare_payload();
  co_await connection.write(std::move(answer));
  co_return true;
}

auto gateway_fixture::set_born(const std::string& name, std::int64_t born) -> void {
  auto& entry = upstreams_.at(name).entry_;
  entry.born_ = born;
  for (const auto& context : contexts_) {
    context->upstreams_->put(entry);
  }
}

auto gateway_fixture::end_upstream(const std::string& name) -> void {
  auto& ended = upstreams_.at(name);
  switch (port_after_end_) {
    case port_after_end::closes:
      ended.listener_->stop();
      break;
    case port_after_end::held:
      ended.held_ = true;
      break;
    case port_after_end::reopens:
      ended.former_ids_.insert(ended.id_);
      ended.id_ += "-next";
      break;
    case port_after_end::silent:
      ended.silent_ = true;
      ++ended_;
      return;
  }
  for (const auto& connection : std::exchange(ended.connections_, {})) {
    connection->close();
  }
  ++ended_;
}

}  // namespace birchlever::test
