#include "birchlever/controllers/crash_rows.h"

#include <charconv>

namespace birchlever {
namespace {

constexpr auto separator = '/';

}  // namespace

auto crash_row_key(const send_record& record) -> std::string {
  return record.fingerprint_ + separator + std::string{name_of(record.state_)} + separator + record.upstream_;
}

auto parse_crash_row_key(const std::string& key) -> std::optional<send_record> {
  auto first = key.find(separator);
  auto second = first == std::string::npos ? first : key.find(separator, first + 1);
  if (second == std::string::npos) {
    return std::nullopt;
  }
  auto record = send_record{key.substr(0, first), key.substr(second + 1), send_state::open};
  auto state = key.substr(first + 1, second - first - 1);
  if (state == name_of(send_state::crashed)) {
    record.state_ = send_state::crashed;
  } else if (state != name_of(send_state::open)) {
    return std::nullopt;
  }
  return record;
}

auto parse_round(const std::string& value) -> int {
  auto round = 1;
  std::from_chars(value.data(), value.data() + value.size(), round);
  return round;
}

}  // namespace birchlever
