#include "birchlever/core/daemon_settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>

namespace birchlever {
namespace {

using text_check = auto(*)(const std::string&) -> const char*;

constexpr auto max_name_length = std::size_t{64};

auto ip(const std::string& text) -> const char* {
  auto parsed = in_addr{};
  return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ? nullptr : "is not an IPv4 address";
}

auto name(const std::string& text) -> const char* {
  if (text.empty()) {
    return "must not be empty";
  }
  auto is_allowed = [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_';
  };
  auto valid = text.size() <= max_name_length && std::all_of(text.begin(), text.end(), is_allowed);
  return valid ? nullptr : "must consist of at most 64 letters, digits, '-' and '_'";
}

auto name_or_empty(const std::string& text) -> const char* {
  return text.empty() ? nullptr : name(text);
}

auto name_list_or_empty(const std::string& text) -> const char* {
  for (const auto& entry : split_list(text)) {
    if (const auto* reason = name(entry)) {
      return reason;
    }
  }
  return nullptr;
}

auto address(const std::string& text) -> const char* {
  auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return "does not have the form ip:port";
  }
  if (ip(text.substr(0, colon)) != nullptr) {
    return "does not start with an IPv4 address";
  }
  auto digits = text.substr(colon + 1);
  auto numeric =
      !digits.empty() && digits.size() <= 5 && std::all_of(digits.begin(), digits.end(), ::isdigit);
  return numeric && std::stoi(digits) >= 1 && std::stoi(digits) <= 65535 ? nullptr
                                                                         : "has no port from 1 to 65535";
}

auto level(const std::string& text) -> const char* {
  constexpr auto levels = std::array{"debug", "info", "warning", "error"};
  auto known = std::find(levels.begin(), levels.end(), text) != levels.end();
  return known ? nullptr : "is not debug, info, warning or error";
}

auto check_number(std::vector<setting_error>& errors, const char* name, std::int64_t value, std::int64_t min,
                  std::int64_t max, const char* unit) -> void {
  if (value < min || value > max) {
    errors.push_back({name, std::to_string(value),
                      "must be from " + std::to_string(min) + " to " + std::to_string(max) + " " + unit});
  }
}

auto check_text(std::vector<setting_error>& errors, const char* name, const std::string& value,
                text_check format) -> void {
  if (const auto* reason = format(value)) {
    errors.push_back({name, value, reason});
  }
}

auto check_secret(std::vector<setting_error>& errors, const char* name, const std::string& value) -> void {
  if (split_list(value).empty()) {
    errors.push_back({name, "(hidden)", "must contain at least one key"});
  }
}

auto check_relations(std::vector<setting_error>& errors, const daemon_settings& settings) -> void {
  if (settings.lease_ms_ <= settings.lease_margin_ms_ + settings.lease_renew_ms_) {
    errors.push_back({"lease_ms", std::to_string(settings.lease_ms_),
                      "must exceed the sum of lease_margin_ms and lease_renew_ms"});
  }
  if (settings.configuration_bound_ms_ <= settings.poll_ms_) {
    errors.push_back(
        {"configuration_bound_ms", std::to_string(settings.configuration_bound_ms_), "must exceed poll_ms"});
  }
  if (settings.http_port_ == settings.peer_port_) {
    errors.push_back({"peer_port", std::to_string(settings.peer_port_), "must differ from http_port"});
  }
  if (!settings.test_without_.empty() && settings.test_controls_ == 0) {
    errors.push_back({"test_without", settings.test_without_, "needs test_controls"});
  }
}

}  // namespace

auto check_settings(const daemon_settings& settings) -> std::vector<setting_error> {
  auto errors = std::vector<setting_error>{};
#define NUMBER_SETTING(name, default_value, min, max, unit, description) \
  check_number(errors, #name, settings.name##_, min, max, unit);
#define TEXT_SETTING(name, default_value, format, description) \
  check_text(errors, #name, settings.name##_, format);
#define SECRET_SETTING(name, description) check_secret(errors, #name, settings.name##_);
#include "birchlever/core/settings.def"
#undef NUMBER_SETTING
#undef TEXT_SETTING
#undef SECRET_SETTING
  check_relations(errors, settings);
  return errors;
}

auto describe_settings() -> std::string {
  auto text = std::ostringstream{};
#define NUMBER_SETTING(name, default_value, min, max, unit, description) \
  text << "  --" #name " (" unit ", " #min " to " #max ", default " #default_value "): " description "\n";
#define TEXT_SETTING(name, default_value, format, description) \
  text << "  --" #name " (text, default '" default_value "'): " description "\n";
#define SECRET_SETTING(name, description) text << "  --" #name " (secret): " description "\n";
#include "birchlever/core/settings.def"
#undef NUMBER_SETTING
#undef TEXT_SETTING
#undef SECRET_SETTING
  return text.str();
}

auto split_list(const std::string& text) -> std::vector<std::string> {
  auto entries = std::vector<std::string>{};
  auto stream = std::istringstream{text};
  for (auto entry = std::string{}; std::getline(stream, entry, ',');) {
    if (!entry.empty()) {
      entries.push_back(entry);
    }
  }
  return entries;
}

}  // namespace birchlever
