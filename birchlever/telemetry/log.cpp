#include "birchlever/telemetry/log.h"

#include <easylogging++.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <nlohmann/json.hpp>

#include "birchlever/telemetry/log_sink.h"

INITIALIZE_EASYLOGGINGPP

namespace birchlever {
namespace {

constexpr auto level_names = std::array<std::string_view, 4>{"debug", "info", "warning", "error"};

struct log_state {
  std::string process_name_;
  log_level lowest_ = log_level::info;
};

auto state() -> log_state& {
  static auto current = log_state{};
  return current;
}

auto standard_output() -> log_sink& {
  static auto sink = log_sink{STDOUT_FILENO};
  return sink;
}

/// Hands lines to the sink in place of the library's own writing, which waits for the reader.
class sink_dispatch final : public el::LogDispatchCallback {
 protected:
  auto handle(const el::LogDispatchData* data) -> void override {
    standard_output().write(data->logMessage()->message());
  }
};

auto wall_milliseconds() -> std::int64_t {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace

auto name_of(log_level level) -> std::string_view {
  return level_names.at(static_cast<std::size_t>(level));
}

auto start_log(const std::string& process_name, log_level lowest) -> void {
  state() = {process_name, lowest};
  auto configuration = el::Configurations{};
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
      "DefaultLogDispatchCallback");
  el::Helpers::installLogDispatchCallback<sink_dispatch>("sink_dispatch");
}

auto dropped_log_lines() -> std::int64_t {
  return standard_output().dropped();
}

auto level_of(std::string_view name) -> log_level {
  for (auto level : {log_level::debug, log_level::info, log_level::warning}) {
    if (name_of(level) == name) {
      return level;
    }
  }
  return log_level::error;
}

auto set_log_level(log_level lowest) -> void {
  state().lowest_ = lowest;
}

namespace {

auto write_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) -> void {
  auto line = nlohmann::ordered_json{{"time_ms", wall_milliseconds()},
                                     {"level", name_of(level)},
                                     {"process", state().process_name_},
                                     {"event", event}};
  for (const auto& [name, field] : fields) {
    std::visit([&line, key = std::string{name}](const auto& content) { line[key] = content; }, field);
  }
  auto text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  switch (level) {
    case log_level::debug:
    case log_level::info:
      LOG(INFO) << text;
      break;
    case log_level::warning:
      LOG(WARNING) << text;
      break;
    case log_level::error:
      LOG(ERROR) << text;
      break;
  }
}

}  // namespace

auto log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields) -> void {
  if (level < state().lowest_ || state().process_name_.empty()) {
    return;
  }
  try {
    write_event(level, event, fields);
  } catch (const std::bad_alloc&) {
    standard_output().drop();  // Lines about a lack of memory are the first that cannot be made.
  }
}

auto log_failure(log_level level, std::string_view event, const error& failure) -> void {
  log_event(level, event,
            {{"type", std::string{name_of(failure.code_)}},
             {"detail", failure.detail_},
             {"ran", std::string{name_of(failure.ran_)}}});
}

}  // namespace birchlever
