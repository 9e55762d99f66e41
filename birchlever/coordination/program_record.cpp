#include "birchlever/coordination/program_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "birchlever/core/bounded_json.h"

namespace birchlever {
namespace {

using json = nlohmann::json;

constexpr auto spent_key = "s";
constexpr auto reserved_key = "r";
constexpr auto drawn_key = "d";
constexpr auto updated_key = "t";
constexpr auto previous_key = "p";
constexpr auto input_key = "i";
constexpr auto output_key = "o";
constexpr auto upstream_key = "u";

auto to_text(const json& value) -> std::string {
  auto bytes = std::string{};
  json::to_cbor(value, bytes);
  return bytes;
}

auto binary(const std::string& bytes) -> json {
  return json::binary(std::vector<std::uint8_t>{bytes.begin(), bytes.end()});
}

auto text_of(const json& value) -> std::string {
  const auto& bytes = value.get_binary();
  return std::string{bytes.begin(), bytes.end()};
}

auto decode_reservation(const json& held) -> reservation {
  constexpr auto witness_field = std::size_t{2};  // These two are absent in rows of earlier releases.
  constexpr auto ends_by_field = std::size_t{3};
  if (!held.is_array()) {
    return {held.get<std::int64_t>()};  // The first release wrote a plain number.
  }
  auto witness = held.size() > witness_field ? held.at(witness_field).get<std::string>() : std::string{};
  auto ends_by = held.size() > ends_by_field ? held.at(ends_by_field).get<milliseconds>() : milliseconds{0};
  return {held.at(0).get<std::int64_t>(), held.at(1).get<milliseconds>(), std::move(witness), ends_by};
}

/// Parses CBOR, which allows arbitrary bytes in bodies. A malformed row is an error, never an empty record.
template <class Convert>
auto decode_row(std::string_view bytes, Convert convert) -> result<decltype(convert(json{}))> {
  auto parsed = parse_cbor(bytes);
  if (!ok(parsed)) {
    return error{error_code::malformed_json, "malformed program row: " + failure(parsed).detail_};
  }
  try {
    return convert(value(parsed));
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed program row: "} + fault.what()};
  }
}

}  // namespace

auto program_record::committed() const -> std::int64_t {
  auto total = spent_;
  for (const auto& [name, held] : reserved_) {
    total += held.tokens_;
  }
  return total;
}

auto program_record::has_leased() const -> bool {
  return std::any_of(reserved_.begin(), reserved_.end(),
                     [](const auto& entry) { return entry.second.expires_at_ > 0; });
}

auto program_record::started_turns() const -> std::vector<std::string> {
  auto started = std::vector<std::string>{};
  for (const auto& [name, held] : reserved_) {
    if (held.expires_at_ == 0) {
      started.push_back(name);
    }
  }
  return started;
}

auto encode(const program_record& record) -> std::string {
  auto reserved = json::object();
  for (const auto& [name, held] : record.reserved_) {
    reserved[name] = json::array({held.tokens_, held.expires_at_});
    if (!held.witness_.empty() || held.ends_by_ > 0) {
      reserved[name].push_back(held.witness_);
    }
    if (held.ends_by_ > 0) {
      reserved[name].push_back(held.ends_by_);
    }
  }
  auto row = json{
      {spent_key, record.spent_}, {reserved_key, std::move(reserved)}, {updated_key, record.updated_at_}};
  for (const auto& [daemon, drawn] : record.drawn_) {
    row[drawn_key][daemon] = json::array({drawn.tokens_, drawn.last_draw_, drawn.last_tokens_});
  }
  return to_text(row);
}

auto decode_program(std::string_view value) -> result<program_record> {
  return decode_row(value, [](const json& row) {
    auto record = program_record{};
    row.at(spent_key).get_to(record.spent_);
    for (const auto& [name, held] : row.at(reserved_key).items()) {
      record.reserved_[name] = decode_reservation(held);
    }
    row.at(updated_key).get_to(record.updated_at_);
    auto all_drawn = row.value(drawn_key, json::object());  // Absent in rows of releases without draws.
    for (const auto& [daemon, drawn] : all_drawn.items()) {
      record.drawn_[daemon] = {drawn.at(0).get<std::int64_t>(), drawn.at(1).get<std::string>(),
                               drawn.at(2).get<std::int64_t>()};
    }
    return record;
  });
}

auto encode(const turn_record& record) -> std::string {
  return to_text(json{{previous_key, record.previous_},
                      {input_key, binary(record.input_)},
                      {output_key, binary(record.output_)},
                      {upstream_key, record.upstream_}});
}

auto decode_turn(std::string_view value) -> result<turn_record> {
  return decode_row(value, [](const json& row) {
    auto record = turn_record{};
    row.at(previous_key).get_to(record.previous_);
    record.input_ = text_of(row.at(input_key));
    record.output_ = text_of(row.at(output_key));
    row.at(upstream_key).get_to(record.upstream_);
    return record;
  });
}

}  // namespace birchlever
