#include "birchlever/controllers/shard_set.h"

#include <nlohmann/json.hpp>

#include "birchlever/controllers/actor_messages.h"

namespace birchlever {
namespace {

constexpr auto text_timeout = std::chrono::milliseconds{5000};
constexpr auto rows_timeout = std::chrono::milliseconds{1500};
constexpr auto open_margin = std::chrono::milliseconds{5000};

auto no_reply(ran_state state) -> error {
  return {error_code::owner_unreachable, "the shard did not reply in time", state, 500};
}

/// Sends a request to an actor and waits for its reply; null on a timeout or failure.
template <class Reply, class Atom, class... Arguments>
auto ask(caf::actor_system& system, const caf::actor& shard, std::chrono::milliseconds wait, Atom atom,
         Arguments... arguments) -> std::shared_ptr<const Reply> {
  auto self = caf::scoped_actor{system};
  auto answer = std::shared_ptr<const Reply>{};
  self->request(shard, wait, atom, std::move(arguments)...)
      .receive([&](const shared<Reply>& reply) { answer = reply; }, [](const caf::error&) {});
  return answer;
}

template <class Atom, class... Arguments>
auto ask_text(caf::actor_system& system, const caf::actor& shard, std::chrono::milliseconds wait, Atom atom,
              Arguments... arguments) -> result<std::string> {
  auto self = caf::scoped_actor{system};
  auto answer = result<std::string>{no_reply(ran_state::outcome_unknown)};
  self->request(shard, wait, atom, std::move(arguments)...)
      .receive([&](const std::string& text) { answer = text; }, [](const caf::error&) {});
  return answer;
}

}  // namespace

shard_set::shard_set(caf::actor_system& system, const std::vector<caf::actor>& shards)
    : system_{system}, shards_{std::make_unique<std::vector<caf::actor>>(shards)} {}

shard_set::~shard_set() = default;

auto shard_set::count() const -> int {
  return static_cast<int>(shards_->size());
}

auto shard_set::actor_of(int shard) const -> const caf::actor& {
  return shards_->at(static_cast<std::size_t>(shard));
}

auto shard_set::open(int shard, open_request request) -> open_reply {
  auto wait = std::chrono::milliseconds{request.order_.deadline_} + open_margin;
  request.order_.request_id_ = request.request_id_;
  auto message = shared<open_request>{std::make_shared<open_request>(std::move(request))};
  auto started_at = steady_clock{}.now();
  auto reply = ask<open_reply>(system_, actor_of(shard), wait, open_atom::value, message);
  if (!reply) {
    return no_reply(ran_state::outcome_unknown);
  }
  auto answer = *reply;
  if (ok(answer)) {
    if (auto* ticket = std::get_if<dispatch_ticket>(&value(answer))) {
      ticket->waited_ = steady_clock{}.now() - started_at;
    }
  }
  return answer;
}

auto shard_set::settle(int shard, settle_request request, milliseconds wait) -> settle_reply {
  auto message = shared<settle_request>{std::make_shared<settle_request>(std::move(request))};
  auto reply = ask<settle_reply>(system_, actor_of(shard), std::chrono::milliseconds{wait},
                                 settle_atom::value, message);
  return reply ? *reply : settle_reply{no_reply(ran_state::outcome_unknown)};
}

auto shard_set::accepted(int shard, accepted_report report) -> void {
  auto message = shared<accepted_report>{std::make_shared<accepted_report>(std::move(report))};
  caf::anon_send(actor_of(shard), accepted_atom::value, message);
}

auto shard_set::create_program(int shard, program_request request) -> result<std::string> {
  auto message = shared<program_request>{std::make_shared<program_request>(std::move(request))};
  return ask_text(system_, actor_of(shard), text_timeout, create_atom::value, message);
}

auto shard_set::end_program(int shard, program_request request, const std::string& reason)
    -> result<std::string> {
  auto message = shared<program_request>{std::make_shared<program_request>(std::move(request))};
  return ask_text(system_, actor_of(shard), text_timeout, end_atom::value, message, reason);
}

auto shard_set::history(int shard, program_request request) -> result<std::string> {
  auto message = shared<program_request>{std::make_shared<program_request>(std::move(request))};
  return ask_text(system_, actor_of(shard), text_timeout, history_atom::value, message);
}

auto shard_set::rows(const std::string& kind) -> std::string {
  auto all = nlohmann::json::array();
  for (const auto& shard : *shards_) {
    auto text = ask_text(system_, shard, rows_timeout, rows_atom::value, kind);
    auto list = ok(text) ? nlohmann::json::parse(value(text), nullptr, false) : nlohmann::json::array();
    for (auto& row : list) {
      all.push_back(std::move(row));
    }
  }
  return all.dump();
}

auto shard_set::hand_over(int shard, const std::string& successor) -> void {
  caf::anon_send(actor_of(shard), hand_over_atom::value, successor);
}

}  // namespace birchlever
