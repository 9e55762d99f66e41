#include "birchlever/coordination/versioned_configuration.h"

#include <nlohmann/json.hpp>

#include "birchlever/core/hashing.h"
#include "birchlever/core/test_switches.h"

namespace birchlever {
namespace {

constexpr auto generations_kept = 256;  // Enough to resolve a proposal whose response was lost.

auto generation_key(std::int64_t generation) -> std::string {
  return "generation/" + std::to_string(generation);
}

auto parse_generation(const std::string& text) -> std::optional<configuration_generation> {
  auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object() || !body.contains("generation")) {
    return std::nullopt;
  }
  return configuration_generation{body.value("generation", std::int64_t{0}), body.value("text", ""),
                                  body.value("author", "")};
}

}  // namespace

auto versioned_configuration::create(std::shared_ptr<table_store_interface> store,
                                     std::shared_ptr<clock_interface> clock, milliseconds max_age)
    -> result<std::shared_ptr<versioned_configuration>> {
  if (max_age < 1) {
    return error{error_code::invalid_setting, "the maximum age of the configuration must be at least 1 ms"};
  }
  return std::shared_ptr<versioned_configuration>{
      new versioned_configuration{std::move(store), std::move(clock), max_age}};
}

versioned_configuration::versioned_configuration(std::shared_ptr<table_store_interface> store,
                                                 std::shared_ptr<clock_interface> clock, milliseconds max_age)
    : store_{std::move(store)}, clock_{std::move(clock)}, max_age_{max_age} {}

auto versioned_configuration::observe(const std::optional<table_row>& row, milliseconds read_started)
    -> bool {
  auto named = row ? parse_generation(row->value_) : std::nullopt;
  {
    auto lock = std::lock_guard{mutex_};
    last_read_ = std::max(last_read_.value_or(read_started), read_started);
    auto may_decrease = named && !test_switches::instance().mechanism_on("configuration_order");
    if (!named || (named->generation_ <= current_.generation_ && !may_decrease)) {
      return false;
    }
    max_seen_ = std::max(max_seen_, named->generation_);
  }
  auto document = store_->read(generation_key(named->generation_));
  auto complete = ok(document) && value(document) ? parse_generation(value(document)->value_) : std::nullopt;
  if (!complete) {
    return false;  // The document is missing: the view is not up to date, and the next poll reads again.
  }
  apply(*complete, row->version_);
  return true;
}

auto versioned_configuration::apply(const configuration_generation& next, std::int64_t row_version) -> void {
  auto lock = std::lock_guard{mutex_};
  auto forward = next.generation_ > current_.generation_;
  if (forward || !test_switches::instance().mechanism_on("configuration_order")) {
    current_ = next;
    row_version_ = row_version;
  }
}

auto versioned_configuration::record_seen(std::int64_t generation) -> bool {
  auto lock = std::lock_guard{mutex_};
  max_seen_ = std::max(max_seen_, generation);
  return max_seen_ > current_.generation_;
}

auto versioned_configuration::conflict() -> error {
  auto row = store_->read(row_key());
  if (!ok(row)) {
    return failure(row);
  }
  observe(value(row), clock_->now());
  auto winner = current();
  return error{error_code::configuration_conflict, "generation " + std::to_string(winner.generation_) +
                                                       " by " + winner.author_ + " was committed first"};
}

auto versioned_configuration::resolve(std::int64_t proposed, const std::string& write_id)
    -> result<std::int64_t> {
  auto row = store_->read(generation_key(proposed));
  if (!ok(row)) {
    return error{error_code::store_unknown,
                 "the configuration change may be in force; read the current generation",
                 ran_state::outcome_unknown, 1000};
  }
  if (value(row) && value(row)->write_id_ == write_id) {
    return value(row)->version_;
  }
  if (value(row)) {
    return conflict();
  }
  return error{error_code::store_unknown,
               "the configuration change is not visible yet and may still take effect",
               ran_state::outcome_unknown, 1000};
}

auto versioned_configuration::propose(std::int64_t expected, const std::string& text,
                                      const std::string& author) -> result<std::int64_t> {
  auto base_version = std::int64_t{0};
  {
    auto lock = std::lock_guard{mutex_};
    if (!last_read_) {
      return error{error_code::not_ready, "the configuration has not been read yet", ran_state::not_run, 500};
    }
    if (expected != current_.generation_) {
      return error{error_code::configuration_conflict, "generation " + std::to_string(current_.generation_) +
                                                           " by " + current_.author_ + " is in force"};
    }
    base_version = row_version_;
  }
  auto next = configuration_generation{expected + 1, text, author};
  auto name = nlohmann::json{{"generation", next.generation_}, {"author", next.author_}};
  auto document = name;
  document["text"] = next.text_;
  auto transaction = table_transaction{random_id(), {}, {{row_key(), name.dump()}}, {}};
  if (test_switches::instance().mechanism_on("configuration_compare")) {
    transaction.conditions_.push_back({row_key(), base_version});
    transaction.conditions_.push_back({generation_key(next.generation_), 0});
  }
  transaction.puts_.push_back({generation_key(next.generation_), document.dump()});
  transaction.deletes_.push_back(generation_key(next.generation_ - generations_kept));
  auto outcome = store_->commit(transaction);
  if (!ok(outcome) && failure(outcome).code_ == error_code::store_conflict) {
    return conflict();
  }
  if (!ok(outcome) && failure(outcome).code_ == error_code::store_unknown) {
    outcome = resolve(next.generation_, transaction.write_id_);
  }
  if (!ok(outcome)) {
    return failure(outcome);
  }
  apply(next, value(outcome));
  return next.generation_;
}

auto versioned_configuration::current() const -> configuration_generation {
  auto lock = std::lock_guard{mutex_};
  return current_;
}

auto versioned_configuration::generation() const -> std::int64_t {
  auto lock = std::lock_guard{mutex_};
  return current_.generation_;
}

auto versioned_configuration::is_up_to_date() const -> bool {
  auto lock = std::lock_guard{mutex_};
  auto in_time = last_read_ && clock_->now() - *last_read_ <= max_age_;
  return in_time && (max_seen_ <= current_.generation_);
}

}  // namespace birchlever
