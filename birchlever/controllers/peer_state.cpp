#include "birchlever/controllers/peer_state.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "birchlever/core/bounded_json.h"

namespace birchlever {
namespace {

using json = nlohmann::json;

/// Indexes of fields that earlier versions do not send.
enum class added_field : std::size_t {
  allowance_ranges = 6,
  follows,
  region,
  cores,
  followers,
  spent,
  pressure,
  speeds,
  send_records,
  uptime,
  incarnation
};

/// Reads an optional field if the message has it.
template <class Field>
auto read_added(const json& message, added_field field, Field& into) -> void {
  auto index = static_cast<std::size_t>(field);
  if (message.size() > index) {
    message.at(index).get_to(into);
  }
}

constexpr auto pressure_scale = 100.0;  // Decimals are sent as integers, which take fewer bytes.

/// Returns the fields of a report in the order of `decode_pressure`.
auto encode_pressure(const pressure_report& report) -> json {
  auto fields = json::array();
  for (auto field : {report.write_wait_ms_, report.writes_per_s_, report.throttled_per_s_, report.upstreams_,
                     report.served_turns_per_s_, report.first_turns_per_s_, report.turns_per_s_}) {
    fields.push_back(std::llround(field * pressure_scale));
  }
  return fields;
}

auto decode_pressure(const json& fields) -> pressure_report {
  auto report = pressure_report{};
  auto index = std::size_t{0};
  for (auto* field :
       {&report.write_wait_ms_, &report.writes_per_s_, &report.throttled_per_s_, &report.upstreams_,
        &report.served_turns_per_s_, &report.first_turns_per_s_, &report.turns_per_s_}) {
    *field = fields.at(index++).get<double>() / pressure_scale;
  }
  return report;
}

constexpr auto slowness_steps_per_octave = 16.0;  // A step is 4 %; slowness from 1/8 to 8 takes two bytes.
constexpr auto max_slowness_steps = 127.0;
constexpr auto weight_steps = 8.0;
constexpr auto max_weight_steps = 15.0;  // A weight and a count take two bytes together.
constexpr auto count_range = 16U;
constexpr auto speed_fields = std::size_t{3};

/// Returns the rows as one flat array of integers, 9 bytes per row on average.
auto pack_speeds(const std::vector<speed_report>& speeds) -> json {
  auto packed = json::array();
  for (const auto& report : speeds) {
    auto steps = std::round(std::log2(report.slowness_) * slowness_steps_per_octave);
    auto weight = std::round(report.weight_ * weight_steps);
    packed.push_back(report.incarnation_);
    packed.push_back(static_cast<int>(std::clamp(steps, -max_slowness_steps, max_slowness_steps)));
    auto weight_part = static_cast<std::uint32_t>(std::clamp(weight, 1.0, max_weight_steps));
    packed.push_back(weight_part * count_range + report.count_ % count_range);
  }
  return packed;
}

auto unpack_speeds(const json& packed) -> std::vector<speed_report> {
  auto speeds = std::vector<speed_report>{};
  for (auto next = std::size_t{0}; next + speed_fields <= packed.size(); next += speed_fields) {
    auto steps = std::clamp(packed.at(next + 1).get<double>(), -max_slowness_steps, max_slowness_steps);
    auto last = packed.at(next + 2).get<std::uint32_t>();
    auto weight = std::min(static_cast<double>(last / count_range), max_weight_steps);
    speeds.push_back({packed.at(next).get<std::uint32_t>(), std::exp2(steps / slowness_steps_per_octave),
                      weight / weight_steps, last % count_range});
  }
  speeds.resize(std::min(speeds.size(), max_speed_reports));
  return speeds;
}

auto pack_send_records(const std::vector<send_record>& records) -> json {
  auto packed = json::array();
  for (const auto& record : records) {
    packed.push_back(json::array({record.fingerprint_, record.upstream_,
                                  static_cast<std::size_t>(record.state_), record.round_, record.age_}));
  }
  return packed;
}

auto unpack_send_records(const json& packed) -> std::vector<send_record> {
  auto records = std::vector<send_record>{};
  for (const auto& fields : packed) {
    auto state = fields.at(2).get<std::size_t>();
    if (state <= static_cast<std::size_t>(send_state::served)) {  // Later versions may send others.
      auto complete = fields.size() > 4;  // Earlier versions send neither round nor age.
      auto round = complete ? fields.at(3).get<int>() : 1;
      auto age = complete ? fields.at(4).get<milliseconds>() : 0;
      records.push_back({fields.at(0), fields.at(1), static_cast<send_state>(state), round, age});
    }
  }
  return records;
}

}  // namespace

auto encode(const peer_state& state) -> std::string {
  auto bytes = std::string{};
  auto response_age = state.store_response_age_ ? json(*state.store_response_age_) : json(nullptr);
  auto reports = json::array();
  for (const auto& report : state.health_reports_) {
    reports.push_back(json::array({report.id_, report.failed_, report.born_}));
  }
  auto followers = json::array();
  for (const auto& follower : state.followers_) {
    followers.push_back(
        json::array({follower.vm_, follower.control_address_, follower.cores_, follower.age_}));
  }
  auto spent = json::array();
  for (const auto& report : state.spent_) {
    spent.push_back(json::array({report.program_, report.tokens_}));
  }
  auto message = json{state.vm_,
                      response_age,
                      state.configuration_,
                      state.control_address_,
                      state.running_,
                      reports,
                      state.allowance_ranges_,
                      state.follows_,
                      state.region_,
                      state.cores_,
                      followers,
                      spent,
                      state.pressure_ ? encode_pressure(*state.pressure_) : json::array(),
                      pack_speeds(state.speeds_),
                      pack_send_records(state.send_records_),
                      state.uptime_ ? json(*state.uptime_) : json(nullptr),
                      state.incarnation_ ? json(*state.incarnation_) : json(nullptr)};
  json::to_cbor(message, bytes);
  return bytes;
}

auto decode_peer_state(std::string_view bytes) -> result<peer_state> {
  auto parsed = parse_cbor(bytes);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  try {
    const auto& message = value(parsed);
    auto state = peer_state{};
    message.at(0).get_to(state.vm_);
    if (!message.at(1).is_null()) {
      state.store_response_age_ = message.at(1).get<milliseconds>();
    }
    message.at(2).get_to(state.configuration_);
    message.at(3).get_to(state.control_address_);
    message.at(4).get_to(state.running_);
    for (const auto& report : message.at(5)) {
      constexpr auto born_field = std::size_t{2};
      auto born = report.size() > born_field ? report.at(born_field).get<std::int64_t>() : 0;
      state.health_reports_.push_back({report.at(0).get<std::string>(), report.at(1).get<bool>(), born});
    }
    read_added(message, added_field::allowance_ranges, state.allowance_ranges_);
    read_added(message, added_field::follows, state.follows_);
    read_added(message, added_field::region, state.region_);
    read_added(message, added_field::cores, state.cores_);
    auto followers = json::array();
    read_added(message, added_field::followers, followers);
    for (const auto& follower : followers) {
      state.followers_.push_back({follower.at(0), follower.at(1), follower.at(2), follower.at(3)});
    }
    auto spent = json::array();
    read_added(message, added_field::spent, spent);
    for (const auto& report : spent) {
      state.spent_.push_back({report.at(0), report.at(1)});
    }
    auto pressure = json::array();
    read_added(message, added_field::pressure, pressure);
    if (!pressure.empty()) {
      state.pressure_ = decode_pressure(pressure);
    }
    auto speeds = json::array();
    read_added(message, added_field::speeds, speeds);
    state.speeds_ = unpack_speeds(speeds);
    auto send_records = json::array();
    read_added(message, added_field::send_records, send_records);
    state.send_records_ = unpack_send_records(send_records);
    auto uptime = json(nullptr);
    read_added(message, added_field::uptime, uptime);
    if (!uptime.is_null()) {
      state.uptime_ = uptime.get<milliseconds>();
    }
    auto incarnation = json(nullptr);
    read_added(message, added_field::incarnation, incarnation);
    if (!incarnation.is_null()) {
      state.incarnation_ = incarnation.get<std::uint32_t>();
    }
    return state;
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed peer message: "} + fault.what()};
  }
}

}  // namespace birchlever
