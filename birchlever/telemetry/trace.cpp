#include "birchlever/telemetry/trace.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto trace_id_length = std::size_t{32};
constexpr auto span_id_length = std::size_t{16};
constexpr auto header_length = std::size_t{55};

auto wall_microseconds() -> std::int64_t {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

auto hexadecimal(std::string_view text) -> bool {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto new_span_id() -> std::string {
  return random_id().substr(0, span_id_length);
}

}  // namespace

auto trace_context::from_header(std::string_view header) -> trace_context {
  auto shaped = header.size() == header_length && header[2] == '-' && header[35] == '-' && header[52] == '-';
  if (shaped) {
    auto trace = header.substr(3, trace_id_length);
    auto span = header.substr(36, span_id_length);
    if (hexadecimal(trace) && hexadecimal(span)) {
      return {std::string{trace}, std::string{span}};
    }
  }
  return {random_id(), ""};
}

auto trace_context::to_header() const -> std::string {
  auto span = span_id_.empty() ? new_span_id() : span_id_;
  return "00-" + trace_id_ + "-" + span + "-01";
}

auto trace_recorder::record(const trace_context& self, const std::string& parent, const std::string& name,
                            std::int64_t started_us, std::int64_t ended_us,
                            std::map<std::string, std::string> tags) -> void {
  auto lock = std::lock_guard{mutex_};
  if (spans_.size() >= capacity_) {
    spans_.pop_front();
  }
  spans_.push_back({self, parent, name, started_us, ended_us, std::move(tags)});
}

auto trace_recorder::to_zipkin() const -> std::string {
  auto lock = std::lock_guard{mutex_};
  auto list = nlohmann::json::array();
  for (const auto& one : spans_) {
    auto body = nlohmann::json{{"traceId", one.self_.trace_id_},
                               {"id", one.self_.span_id_},
                               {"name", one.name_},
                               {"timestamp", one.started_us_},
                               {"duration", std::max<std::int64_t>(1, one.ended_us_ - one.started_us_)},
                               {"localEndpoint", {{"serviceName", process_name_}}},
                               {"tags", one.tags_}};
    if (!one.parent_.empty()) {
      body["parentId"] = one.parent_;
    }
    list.push_back(std::move(body));
  }
  return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

scoped_span::scoped_span(trace_recorder& recorder, const trace_context& parent, std::string name)
    : recorder_{recorder},
      self_{parent.trace_id_, new_span_id()},
      parent_{parent.span_id_},
      name_{std::move(name)},
      started_us_{wall_microseconds()} {}

scoped_span::~scoped_span() {
  recorder_.record(self_, parent_, name_, started_us_, wall_microseconds(), std::move(tags_));
}

}  // namespace birchlever
