#include "birchlever/gateway/gateway_settings.h"

#include <charconv>
#include <sstream>

#include "birchlever/http/http_listener.h"
#include "birchlever/upstream/hall_regions.h"

namespace birchlever {
namespace {

auto check_address(std::vector<setting_error>& errors, const char* name, const std::string& text,
                   bool may_be_empty) -> void {
  if (text.empty() && may_be_empty) {
    return;
  }
  auto parsed = parse_address(text);
  if (!ok(parsed)) {
    errors.push_back({name, text, "is not an address of the form ip:port"});
  }
}

auto check_policy_text(std::vector<setting_error>& errors, const char* name, const std::string& text)
    -> void {
  auto parsed = parse_policy(text);
  if (!ok(parsed)) {
    errors.push_back({name, text, failure(parsed).detail_});
  }
}

auto check_level(std::vector<setting_error>& errors, const std::string& level) -> void {
  if (level != "debug" && level != "info" && level != "warning" && level != "error") {
    errors.push_back({"log_level", level, "must be debug, info, warning or error"});
  }
}

auto check_allotments(std::vector<setting_error>& errors, const std::string& text) -> void {
  if (text != "central" && text != "equal" && text != "off") {
    errors.push_back({"allotments", text, "must be central, equal or off"});
  }
}

auto check_hall_regions(std::vector<setting_error>& errors, const std::string& text) -> void {
  auto parsed = hall_regions::parse(text);
  if (!ok(parsed)) {
    errors.push_back({"hall_regions", text, failure(parsed).detail_});
  }
}

template <class Number>
auto check_range(std::vector<setting_error>& errors, const char* name, Number actual, Number min, Number max,
                 const char* unit) -> void {
  if (actual >= min && actual <= max) {
    return;
  }
  auto reason = std::ostringstream{};
  reason << "must be from " << min << " to " << max << ' ' << unit;
  errors.push_back({name, std::to_string(actual), reason.str()});
}

}  // namespace

auto parse_policy(const std::string& text) -> result<policy_settings> {
  auto input = std::istringstream{text};
  auto kind_name = std::string{};
  input >> kind_name;
  auto kind = parse_policy_kind(kind_name);
  if (!ok(kind)) {
    return failure(kind);
  }
  auto settings = policy_settings{value(kind), {}};
  for (auto word = std::string{}; input >> word;) {
    auto equals = word.find('=');
    auto number = 0.0;
    auto number_text = equals == std::string::npos ? std::string{} : word.substr(equals + 1);
    auto parsed = std::from_chars(number_text.data(), number_text.data() + number_text.size(), number);
    if (number_text.empty() || parsed.ec != std::errc{} ||
        parsed.ptr != number_text.data() + number_text.size()) {
      return error{error_code::invalid_command, "'" + word + "' is not name=number"};
    }
    settings.parameters_[word.substr(0, equals)] = number;
  }
  auto checked = check_policy(settings);
  if (!ok(checked)) {
    return failure(checked);
  }
  return settings;
}

auto check_settings(const gateway_settings& settings) -> std::vector<setting_error> {
  auto errors = std::vector<setting_error>{};
  if (settings.data_hall_.empty()) {
    errors.push_back({"data_hall", "", "is required"});
  }
  check_level(errors, settings.log_level_);
  check_address(errors, "store_address", settings.store_address_, false);
  check_address(errors, "caller_address", settings.caller_address_, false);
  check_address(errors, "readiness_address", settings.readiness_address_, false);
  check_address(errors, "control_address", settings.control_address_, true);
  check_policy_text(errors, "engine_policy", settings.engine_policy_);
  check_policy_text(errors, "service_policy", settings.service_policy_);
  check_allotments(errors, settings.allotments_);
  check_hall_regions(errors, settings.hall_regions_);
#define TEXT_SETTING(name, default_value, description)
#define REAL_SETTING(name, default_value, min, max, unit, description) \
  check_range<double>(errors, #name, settings.name##_, min, max, unit);
#define NUMBER_SETTING(name, default_value, min, max, unit, description) \
  check_range<std::int64_t>(errors, #name, settings.name##_, min, max, unit);
#include "birchlever/gateway/gateway_settings.def"
#undef TEXT_SETTING
#undef REAL_SETTING
#undef NUMBER_SETTING
  return errors;
}

auto describe_gateway_settings() -> std::string {
  auto text = std::ostringstream{};
#define TEXT_SETTING(name, default_value, description) \
  text << "  --" #name " (text, default '" default_value "'): " description "\n";
#define REAL_SETTING(name, default_value, min, max, unit, description) \
  text << "  --" #name " (" unit ", " #min " to " #max ", default " #default_value "): " description "\n";
#define NUMBER_SETTING(name, default_value, min, max, unit, description) \
  text << "  --" #name " (" unit ", " #min " to " #max ", default " #default_value "): " description "\n";
#include "birchlever/gateway/gateway_settings.def"
#undef TEXT_SETTING
#undef REAL_SETTING
#undef NUMBER_SETTING
  return text.str();
}

}  // namespace birchlever
