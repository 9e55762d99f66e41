#include "birchlever/operators/operator_console.h"

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "birchlever/controllers/daemon_context.h"
#include "birchlever/controllers/fleet_view.h"
#include "birchlever/controllers/owner_gateway.h"
#include "birchlever/controllers/shard_set.h"
#include "birchlever/coordination/versioned_configuration.h"
#include "birchlever/core/hashing.h"
#include "birchlever/operators/configuration_editor.h"
#include "birchlever/operators/local_rows.h"
#include "birchlever/operators/policy_report.h"
#include "birchlever/operators/row_filter.h"
#include "birchlever/storage/http_connection_pool.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto most_at_once = std::size_t{16};
constexpr auto longest_question = std::chrono::seconds{10};
constexpr auto most_rows = std::size_t{5000};

auto dump(const json& body) -> std::string {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Runs the work for every index on a bounded number of threads; what has not begun in time is left out.
template <class Work>
auto for_each_bounded(std::size_t count, Work work) -> void {
  auto give_up_at = std::chrono::steady_clock::now() + longest_question;
  auto next = std::atomic<std::size_t>{0};
  auto threads = std::vector<std::thread>{};
  for (auto thread = std::size_t{0}; thread < std::min(count, most_at_once); ++thread) {
    threads.emplace_back([&] {
      for (auto index = next++; index < count && std::chrono::steady_clock::now() < give_up_at;
           index = next++) {
        work(index);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

/// Subjects that every daemon knows alike, so that one answer is enough.
auto same_everywhere(const std::string& subject) -> bool {
  return subject == "policies" || subject == "configuration" || subject == "generations" ||
         subject == "accounts";
}

/// Several owners see the same engine; the youngest view of each stays.
auto youngest_of_each_engine(json rows) -> json {
  auto best = std::map<std::string, json>{};
  for (auto& row : rows) {
    auto& known = best[row.value("engine", "")];
    if (known.is_null() || row.value("age_ms", 0.0) < known.value("age_ms", 0.0)) {
      known = std::move(row);
    }
  }
  auto kept = json::array();
  for (auto& [name, row] : best) {
    kept.push_back(std::move(row));
  }
  return kept;
}

}  // namespace

/// What all daemons answered together.
struct operator_console::fleet_rows {
  json rows_ = json::array();
  std::vector<std::string> silent_;
  std::int64_t asked_ = 0;
};

operator_console::operator_console(std::shared_ptr<daemon_context> context,
                                   std::shared_ptr<owner_gateway> gateway, std::shared_ptr<shard_set> shards)
    : context_{std::move(context)}, gateway_{std::move(gateway)}, shards_{std::move(shards)} {}

auto operator_console::daemons() const -> std::vector<vm_entry> {
  auto list = std::vector<vm_entry>{};
  for (const auto& entry : *context_->fleet_->vms()) {
    if (entry.kind_ == vm_kind::daemon) {
      list.push_back(entry);
    }
  }
  return list;
}

auto operator_console::operate(const std::string& text) -> result<std::string> {
  auto parsed = parse_statement(text);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  switch (value(parsed).verb_) {
    case statement_verb::show:
      return show(value(parsed), text);
    case statement_verb::explain:
      return explain(value(parsed));
    case statement_verb::compare:
      return compare(value(parsed));
    default:
      return command(value(parsed));
  }
}

auto operator_console::local_rows(const std::string& text) -> result<std::string> {
  if (text == "comparison") {
    return dump(rows_of(*context_, *shards_, text));
  }
  auto parsed = parse_statement(text);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  if (value(parsed).verb_ != statement_verb::show) {
    return error{error_code::invalid_command, "daemons answer each other's questions only"};
  }
  auto rows = rows_of(*context_, *shards_, value(parsed).subject_);
  keep_matching(rows, value(parsed).conditions_);
  order_and_limit(rows, value(parsed));
  if (rows.size() > most_rows) {
    rows.erase(rows.begin() + most_rows, rows.end());
  }
  return dump(rows);
}

auto operator_console::gather(const std::string& text) -> fleet_rows {
  auto targets = daemons();
  auto found = fleet_rows{};
  found.asked_ = static_cast<std::int64_t>(targets.size());
  auto mutex = std::mutex{};
  auto answered = std::set<std::string>{};
  for_each_bounded(targets.size(), [&](std::size_t index) {
    const auto& target = targets[index];
    auto own = target.id_ == context_->daemon_id_;
    auto answer = own ? local_rows(text) : gateway_->query(target.address_.text(), text);
    auto rows = ok(answer) ? json::parse(value(answer), nullptr, false) : json{};
    if (!rows.is_array()) {
      return;
    }
    auto lock = std::lock_guard{mutex};
    answered.insert(target.id_);
    for (auto& row : rows) {
      found.rows_.push_back(std::move(row));
    }
  });
  for (const auto& target : targets) {
    if (answered.count(target.id_) == 0) {
      found.silent_.push_back(target.id_);
    }
  }
  return found;
}

auto operator_console::show(const statement& parsed, const std::string& text) -> result<std::string> {
  auto found = fleet_rows{};
  if (same_everywhere(parsed.subject_)) {
    auto local = local_rows(text);
    if (!ok(local)) {
      return failure(local);
    }
    found.rows_ = json::parse(value(local));
    found.asked_ = 1;
  } else {
    found = gather(text);
  }
  if (parsed.subject_ == "engines") {
    found.rows_ = youngest_of_each_engine(std::move(found.rows_));
  }
  order_and_limit(found.rows_, parsed);
  return dump({{"rows", std::move(found.rows_)},
               {"asked", found.asked_},
               {"silent", found.silent_},
               {"generation", context_->configuration_->generation()}});
}

auto operator_console::explain(const statement& parsed) -> result<std::string> {
  auto found =
      gather("show programs where program = '" + parsed.name_ + "' and account = '" + parsed.subject_ + "'");
  if (found.rows_.empty()) {
    return error{error_code::unknown_program,
                 "no daemon knows program " + parsed.subject_ + "/" + parsed.name_ +
                     (found.silent_.empty() ? "" : "; some daemons were silent")};
  }
  auto row = found.rows_.front();
  row["explanation"] = json::parse(row.value("explanation", ""), nullptr, false);
  return dump({{"rows", json::array({std::move(row)})}, {"asked", found.asked_}, {"silent", found.silent_}});
}

auto operator_console::compare(const statement& parsed) -> result<std::string> {
  auto found = gather("comparison");
  auto names = std::vector<std::string>{};
  for (const auto& [name, share] : parsed.shares_) {
    names.push_back(name);
  }
  auto report = policy_report(found.rows_, names);
  if (!ok(report)) {
    return failure(report);
  }
  auto body = json::parse(value(report));
  body["asked"] = found.asked_;
  body["silent"] = found.silent_;
  return dump(body);
}

auto operator_console::command(const statement& parsed) -> result<std::string> {
  if (parsed.verb_ == statement_verb::end_program) {
    return end_program(parsed);
  }
  auto current = context_->configuration_->current();
  if (parsed.if_generation_ && *parsed.if_generation_ != current.generation_) {
    return error{error_code::configuration_conflict, "generation " + std::to_string(current.generation_) +
                                                         " by " + current.author_ + " is in force"};
  }
  auto before = fleet_configuration::parse(current.text_);
  if (!ok(before)) {
    return failure(before);
  }
  if (parsed.verb_ == statement_verb::move_shard && parsed.number_ >= context_->fleet_->shard_count()) {
    return error{error_code::invalid_command, "there is no shard " + std::to_string(parsed.number_)};
  }
  auto edited = edit_configuration(parsed, value(before));
  if (!ok(edited)) {
    return failure(edited);
  }
  if (parsed.dry_run_) {
    return dump({{"rows", json::array({{{"would_become", current.generation_ + 1},
                                        {"command", name_of(parsed.verb_)}}})},
                 {"dry_run", true}});
  }
  auto author = context_->daemon_id_ + ": " + std::string{name_of(parsed.verb_)} + " " + parsed.name_;
  auto proposed = context_->configuration_->propose(current.generation_, value(edited).to_text(), author);
  if (!ok(proposed)) {
    return failure(proposed);
  }
  log_event(log_level::info, "command_accepted",
            {{"command", std::string{name_of(parsed.verb_)}}, {"generation", value(proposed)}});
  auto ordered = order_engine(parsed, value(proposed));
  if (!ok(ordered)) {
    return failure(ordered);
  }
  spread(value(proposed));
  return dump({{"rows", json::array({{{"generation", value(proposed)}, {"command", name_of(parsed.verb_)}}})},
               {"generation", value(proposed)}});
}

auto operator_console::order_engine(const statement& parsed, std::int64_t generation) -> status {
  auto orders = parsed.verb_ == statement_verb::load_model || parsed.verb_ == statement_verb::load_adapter ||
                parsed.verb_ == statement_verb::change_role;
  if (!orders) {
    return success;
  }
  auto role = parsed.verb_ == statement_verb::change_role;
  auto engine = context_->fleet_->find_vm(role ? parsed.name_ : parsed.target_);
  if (!engine || engine->kind_ != vm_kind::engine) {
    return error{error_code::invalid_command, "no engine " + (role ? parsed.name_ : parsed.target_)};
  }
  auto body = json{{"order", name_of(parsed.verb_)},
                   {"name", role ? parsed.target_ : parsed.name_},
                   {"fence", generation}};
  auto answer = context_->upstream_pool_->request(engine->address_, "POST", "/orders", body.dump());
  if (!ok(answer)) {
    return failure(answer);
  }
  if (value(answer).status_ == 409) {
    return error{error_code::stale_fence, "the engine has taken a newer order"};
  }
  if (value(answer).status_ != 200) {
    return error{error_code::upstream_refused, "the engine refused the order: " + value(answer).body_};
  }
  return success;
}

auto operator_console::end_program(const statement& parsed) -> result<std::string> {
  if (parsed.dry_run_) {
    return dump({{"rows", json::array({{{"would_end", parsed.name_}}})}, {"dry_run", true}});
  }
  auto ended = gateway_->end_program({parsed.subject_, parsed.name_, 0});
  if (!ok(ended)) {
    return failure(ended);
  }
  auto body = json::parse(value(ended), nullptr, false);
  if (body.is_object() && body.contains("error")) {
    return error{error_code::unknown_program, body["error"].value("message", ""), ran_state::not_run};
  }
  return dump({{"rows", json::array({body})}});
}

auto operator_console::spread(std::int64_t generation) -> void {
  auto targets = daemons();
  for_each_bounded(targets.size(), [&](std::size_t index) {
    if (targets[index].id_ != context_->daemon_id_ && !targets[index].leaving_) {
      gateway_->notify_generation(targets[index].address_.text());
    }
  });
  log_event(log_level::debug, "generation_told", {{"generation", generation}});
}

}  // namespace birchlever
