/// The part of program_ledger that writes and reads snapshots.
#include <nlohmann/json.hpp>

#include "birchlever/coordination/program_ledger.h"
#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

using nlohmann::json;

auto call_to_json(const program_call& call) -> json {
  auto body = json{{"n", call.number_},     {"ph", static_cast<int>(call.phase_)},
                   {"d", call.digest_},     {"u", call.upstream_},
                   {"t", call.tokens_},     {"pa", call.parent_},
                   {"rp", call.repeatable_}};
  if (call.phase_ == call_phase::unresolved) {
    body["y"] = call.key_;
    body["rq"] = call.request_id_;
    body["m"] = call.max_tokens_;
  }
  if (!call.location_.segment_.empty()) {
    body["sg"] = call.location_.segment_;
    body["of"] = call.location_.offset_;
    body["ln"] = call.location_.length_;
  }
  return body;
}

auto call_from_json(const json& body) -> program_call {
  auto call = program_call{};
  call.number_ = body.at("n");
  call.phase_ = static_cast<call_phase>(body.at("ph").get<int>());
  call.digest_ = body.at("d");
  call.upstream_ = body.at("u");
  call.tokens_ = body.at("t");
  call.parent_ = body.at("pa");
  call.repeatable_ = body.at("rp");
  call.key_ = body.value("y", "");
  call.request_id_ = body.value("rq", "");
  call.max_tokens_ = body.value("m", std::int64_t{0});
  call.location_ = {body.value("sg", ""), body.value("of", std::int64_t{0}),
                    body.value("ln", std::int64_t{0})};
  return call;
}

/// Returns the phase of a call in the durable state, empty if there is none: in-flight attempts are not
/// durable, intents are.
auto durable_phase(const program_call& call) -> std::optional<call_phase> {
  switch (call.phase_) {
    case call_phase::answered:
    case call_phase::failed:
    case call_phase::unresolved:
      return call.phase_;
    case call_phase::committing:
      return std::nullopt;
    case call_phase::dispatched:
    case call_phase::accepted:
      break;
  }
  return call.repeatable_ ? std::nullopt : std::optional{call_phase::unresolved};
}

}  // namespace

auto program_ledger::prepare_snapshot(int shard, std::int64_t sequence) -> journal_snapshot {
  auto snapshot = journal_snapshot{};
  snapshot.sequence_ = sequence;
  auto segment_key = "segment/" + std::to_string(shard) + "/" + std::to_string(sequence) + "-" + random_id();
  auto programs = json::array();
  for (const auto& [key, owner] : programs_) {
    if (!owner.durable_) {
      continue;
    }
    auto calls = json::array();
    for (const auto& [number, call] : owner.calls_) {
      auto phase = durable_phase(call);
      if (!phase) {
        continue;
      }
      auto copy = call;
      copy.phase_ = *phase;
      if (!call.answer_.empty()) {
        copy.location_ = {segment_key, static_cast<std::int64_t>(snapshot.segment_.size()),
                          static_cast<std::int64_t>(call.answer_.size())};
        snapshot.segment_ += call.answer_;
        snapshot.moved_.push_back(
            {owner.account_, owner.id_, number, copy.location_.offset_, copy.location_.length_});
      }
      calls.push_back(call_to_json(copy));
    }
    programs.push_back({{"a", owner.account_},
                        {"p", owner.id_},
                        {"po", owner.policy_},
                        {"b", owner.budget_.budget()},
                        {"r", owner.budget_.reserved()},
                        {"s", owner.budget_.settled()},
                        {"x", owner.ended_},
                        {"xr", owner.end_reason_},
                        {"up", owner.upstreams_},
                        {"at", owner.attained_tokens_},
                        {"lu", owner.last_upstream_},
                        {"c", std::move(calls)}});
  }
  snapshot.segment_key_ = snapshot.segment_.empty() ? "" : segment_key;
  snapshot.state_ = json{{"programs", std::move(programs)}}.dump();
  for (const auto& [key, live] : segments_) {
    if (live <= 0) {
      snapshot.dead_segments_.push_back(key);
    }
  }
  return snapshot;
}

auto program_ledger::complete_snapshot(const journal_snapshot& snapshot) -> void {
  for (const auto& key : snapshot.dead_segments_) {
    segments_.erase(key);
  }
  for (const auto& moved : snapshot.moved_) {
    auto* owner = find(moved.account_, moved.program_);
    if (owner == nullptr) {
      continue;
    }
    auto& call = owner->calls_[moved.number_];
    call.location_ = {snapshot.segment_key_, moved.offset_, moved.length_};
    call.answer_.clear();
    call.answer_.shrink_to_fit();
    ++segments_[snapshot.segment_key_];
  }
}

auto program_ledger::load_snapshot(const std::string& text, milliseconds now) -> status {
  if (text.empty()) {
    return success;
  }
  try {
    auto state = json::parse(text);
    for (const auto& body : state.at("programs")) {
      auto account = body.at("a").get<std::string>();
      auto id = body.at("p").get<std::string>();
      auto& owner = programs_[key_of(account, id)];
      owner.account_ = account;
      owner.id_ = id;
      owner.policy_ = body.at("po");
      owner.budget_ = budget_account{body.at("b").get<std::int64_t>()};
      owner.budget_.record_reservation(body.at("r").get<std::int64_t>());
      owner.budget_.recover_settled(body.at("s").get<std::int64_t>());
      owner.durable_ = true;
      owner.ended_ = body.at("x");
      owner.end_reason_ = body.at("xr");
      owner.upstreams_ = body.at("up").get<std::set<std::string>>();
      owner.attained_tokens_ = body.at("at");
      owner.last_upstream_ = body.at("lu");
      owner.last_active_ = now;
      for (const auto& call_body : body.at("c")) {
        auto call = call_from_json(call_body);
        ++owner.digests_[call.digest_];
        if (!call.location_.segment_.empty()) {
          ++segments_[call.location_.segment_];
        }
        owner.calls_[call.number_] = std::move(call);
      }
    }
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed snapshot: "} + fault.what()};
  }
  return success;
}

auto program_ledger::recover(const journal_recovery& found, milliseconds now) -> status {
  auto loaded = load_snapshot(found.snapshot_, now);
  if (!ok(loaded)) {
    return loaded;
  }
  recovering_ = true;
  for (const auto& record : found.records_) {
    apply(record, now);
  }
  recovering_ = false;
  for (auto& [key, owner] : programs_) {
    owner.budget_.hold_unsettled();
  }
  return success;
}

}  // namespace birchlever
