#include "birchlever/rpc/peer_server.h"

#include <thrift/concurrency/ThreadFactory.h>
#include <thrift/concurrency/ThreadManager.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TNonblockingServer.h>
#include <thrift/transport/TNonblockingServerSocket.h>

#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/controllers/shard_set.h"
#include "birchlever/controllers/upstream_watch.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/core/hashing.h"
#include "birchlever/rpc/generated/peer.h"
#include "birchlever/rpc/peer_messages.h"
#include "birchlever/telemetry/log.h"
#include "birchlever/telemetry/metrics.h"
#include "birchlever/telemetry/trace.h"

namespace birchlever {
namespace {

namespace thrift = apache::thrift;

/// The library's own remarks, as lines of ours.
auto log_thrift(const char* remark) -> void {
  log_event(log_level::debug, "thrift", {{"remark", std::string{remark}}});
}

auto stranger() -> rpc::failure_message {
  return to_message(error{error_code::peer_refused, "the message does not carry a key of this fleet"});
}

/// Answers each message of another daemon.
class peer_handler final : public rpc::peerIf {
 public:
  peer_handler(std::shared_ptr<daemon_context> context, std::shared_ptr<shard_set> shards,
               peer_server::query_handler query, std::function<void()> look_now)
      : context_{std::move(context)},
        shards_{std::move(shards)},
        query_{std::move(query)},
        look_now_{std::move(look_now)},
        keys_{split_list(context_->settings_.fleet_keys_)} {}

  auto open_call(rpc::open_reply& reply, const rpc::envelope& sender, const rpc::open_message& request)
      -> void override {
    if (!welcome(sender)) {
      reply.__set_failure(stranger());
      return;
    }
    auto asked = from_message(request);
    auto span = scoped_span{*context_->traces_, trace_context::from_header(asked.traceparent_), "owner.open"};
    reply = to_message(shards_->open(shard_for(request.account, request.program), std::move(asked)));
    reply.generation = context_->configuration_->generation();
  }

  auto call_accepted(const rpc::envelope& sender, const rpc::accepted_message& report) -> void override {
    if (welcome(sender)) {
      shards_->accepted(shard_for(report.account, report.program), from_message(report));
    }
  }

  auto settle_call(rpc::settle_reply& reply, const rpc::envelope& sender, const rpc::settle_message& report)
      -> void override {
    if (!welcome(sender)) {
      reply.__set_failure(stranger());
      return;
    }
    auto wait = context_->settings_.settle_wait_ms_;
    reply =
        to_message(shards_->settle(shard_for(report.account, report.program), from_message(report), wait));
    reply.generation = context_->configuration_->generation();
  }

  auto open_program(rpc::text_reply& reply, const rpc::envelope& sender, const rpc::program_message& request)
      -> void override {
    answer_text(reply, sender, [&] {
      return shards_->create_program(shard_for(request.account, request.program),
                                     {request.account, request.program, request.budget});
    });
  }

  auto end_program(rpc::text_reply& reply, const rpc::envelope& sender, const rpc::program_message& request)
      -> void override {
    answer_text(reply, sender, [&] {
      return shards_->end_program(shard_for(request.account, request.program),
                                  {request.account, request.program, 0}, "done");
    });
  }

  auto read_history(rpc::text_reply& reply, const rpc::envelope& sender, const rpc::program_message& request)
      -> void override {
    answer_text(reply, sender, [&] {
      return shards_->history(shard_for(request.account, request.program),
                              {request.account, request.program, 0});
    });
  }

  auto query(rpc::text_reply& reply, const rpc::envelope& sender, const std::string& statement)
      -> void override {
    answer_text(reply, sender, [&] { return query_(statement); });
  }

  auto hear_generation(rpc::text_reply& reply, const rpc::envelope& sender) -> void override {
    answer_text(reply, sender, [this] {
      auto able = context_->configuration_->is_up_to_date() && !context_->stopping_;
      return result<std::string>{std::string{able ? can_own_reply : ""}};
    });
  }

  auto share_views(const rpc::envelope& sender, const std::string& views) -> void override {
    if (!welcome(sender)) {
      return;
    }
    auto taken = apply_shared_views(*context_, views);
    if (!ok(taken)) {
      log_failure(log_level::warning, "shared_views_refused", failure(taken));
    }
  }

 private:
  [[nodiscard]] auto shard_for(const std::string& account, const std::string& program) const -> int {
    return shard_of(account, program, shards_->count());
  }

  auto welcome(const rpc::envelope& sender) -> bool {
    auto known = false;
    for (const auto& key : keys_) {
      known = constant_time_equal(key, sender.fleet_key) || known;
    }
    if (!known) {
      context_->metrics_->count("peer_refusals_total");
      log_event(log_level::warning, "peer_refused", {{"sender", sender.sender}});
      return false;
    }
    if (context_->configuration_->record_seen(sender.generation)) {
      look_now_();
    }
    return true;
  }

  template <class Answer>
  auto answer_text(rpc::text_reply& reply, const rpc::envelope& sender, Answer answer) -> void {
    if (!welcome(sender)) {
      reply.__set_failure(stranger());
      return;
    }
    auto text = answer();
    if (ok(text)) {
      reply.__set_text(value(text));
    } else {
      reply.__set_failure(to_message(failure(text)));
    }
    reply.generation = context_->configuration_->generation();
  }

  std::shared_ptr<daemon_context> context_;
  std::shared_ptr<shard_set> shards_;
  peer_server::query_handler query_;
  std::function<void()> look_now_;
  std::vector<std::string> keys_;
};

/// Tells the starting thread that the port is bound.
class started_handler final : public thrift::server::TServerEventHandler {
 public:
  explicit started_handler(std::shared_ptr<std::promise<void>> bound) : bound_{std::move(bound)} {}

  auto preServe() -> void override { bound_->set_value(); }

 private:
  std::shared_ptr<std::promise<void>> bound_;
};

}  // namespace

struct peer_server::state {
  std::shared_ptr<thrift::concurrency::ThreadManager> handlers_;
  std::shared_ptr<thrift::server::TNonblockingServer> server_;
  std::thread thread_;
};

peer_server::peer_server(std::unique_ptr<state> made) : state_{std::move(made)} {}

peer_server::~peer_server() {
  stop();
}

auto peer_server::create(std::shared_ptr<daemon_context> context, std::shared_ptr<shard_set> shards,
                         query_handler query, std::function<void()> look_now)
    -> result<std::unique_ptr<peer_server>> {
  thrift::GlobalOutput.setOutputFunction(log_thrift);
  const auto& settings = context->settings_;
  auto handler =
      std::make_shared<peer_handler>(context, std::move(shards), std::move(query), std::move(look_now));
  auto processor = std::make_shared<rpc::peerProcessor>(handler);
  auto protocol = std::make_shared<thrift::protocol::TCompactProtocolFactory>();
  auto threads = thrift::concurrency::ThreadManager::newSimpleThreadManager(
      static_cast<std::size_t>(settings.peer_threads_));
  threads->threadFactory(std::make_shared<thrift::concurrency::ThreadFactory>());
  threads->start();
  auto socket = std::make_shared<thrift::transport::TNonblockingServerSocket>(
      settings.listen_address_, static_cast<int>(settings.peer_port_));
  auto made = std::make_unique<state>();
  made->handlers_ = threads;
  made->server_ = std::make_shared<thrift::server::TNonblockingServer>(processor, protocol, socket, threads);
  auto bound = std::make_shared<std::promise<void>>();
  auto outcome = bound->get_future();
  made->server_->setServerEventHandler(std::make_shared<started_handler>(bound));
  made->thread_ = std::thread{[server = made->server_, bound] {
    try {
      server->serve();
    } catch (const thrift::TException& fault) {
      log_event(log_level::error, "peer_port_failed", {{"reason", std::string{fault.what()}}});
      try {
        bound->set_exception(std::current_exception());
      } catch (const std::future_error&) {
        log_event(log_level::error, "peer_port_ended");  // It had been serving.
      }
    }
  }};
  try {
    outcome.get();
  } catch (const std::exception& fault) {
    made->thread_.join();
    return error{error_code::invalid_setting,
                 "peer port " + std::to_string(settings.peer_port_) + " cannot be used: " + fault.what()};
  }
  return std::unique_ptr<peer_server>{new peer_server{std::move(made)}};
}

auto peer_server::stop() -> void {
  if (state_->thread_.joinable()) {
    state_->server_->stop();
    state_->thread_.join();
    state_->handlers_->stop();  // A message in progress refers to the server until it has been handled.
  }
}

}  // namespace birchlever
