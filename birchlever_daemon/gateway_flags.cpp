#include "birchlever_daemon/gateway_flags.h"

#include <gflags/gflags.h>

#include <cstdlib>

DECLARE_string(vm_id);
DECLARE_string(data_hall);
DECLARE_string(store_address);
DECLARE_string(log_level);

#define TEXT_SETTING(name, standard, purpose) DEFINE_string(name, standard, purpose);
#define REAL_SETTING(name, standard, least, most, unit, purpose) DEFINE_double(name, standard, purpose);
#define NUMBER_SETTING(name, standard, least, most, unit, purpose) DEFINE_int64(name, standard, purpose);
#include "birchlever/gateway/gateway_settings.def"
#undef TEXT_SETTING
#undef REAL_SETTING
#undef NUMBER_SETTING

namespace birchlever {
namespace {

auto take_file(const std::string& text, const std::string& file, std::vector<setting_error>& faults) -> void {
  if (!gflags::ReadFlagsFromString(text, "birchlever", false)) {
    faults.push_back(
        {"settings file", file, "holds a line that is no setting, or a value that does not fit"});
  }
}

}  // namespace

auto take_from_environment(const std::string& name, std::vector<setting_error>& faults) -> void {
  auto variable = "BIRCHLEVER_" + name;
  for (auto& letter : variable) {
    letter = static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  const auto* content = std::getenv(variable.c_str());
  auto info = gflags::CommandLineFlagInfo{};
  auto given = gflags::GetCommandLineFlagInfo(name.c_str(), &info) && !info.is_default;
  if (content == nullptr || given) {
    return;
  }
  if (gflags::SetCommandLineOption(name.c_str(), content).empty()) {
    faults.push_back({name, content, "environment variable " + variable + " does not hold a fitting value"});
  }
}

auto read_gateway_settings(const std::string& text, const std::string& file,
                           std::vector<setting_error>& faults) -> gateway_settings {
  if (!text.empty()) {
    take_file(text, file, faults);
  }
  auto settings = gateway_settings{};
#define TAKE(name)                      \
  take_from_environment(#name, faults); \
  settings.name##_ = FLAGS_##name;
  TAKE(vm_id)
  TAKE(data_hall)
  TAKE(store_address)
  TAKE(log_level)
#define TEXT_SETTING(name, standard, purpose) TAKE(name)
#define REAL_SETTING(name, standard, least, most, unit, purpose) TAKE(name)
#define NUMBER_SETTING(name, standard, least, most, unit, purpose) TAKE(name)
#include "birchlever/gateway/gateway_settings.def"
#undef TEXT_SETTING
#undef REAL_SETTING
#undef NUMBER_SETTING
#undef TAKE
  return settings;
}

}  // namespace birchlever
