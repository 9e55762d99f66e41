#include "fleet_model/load_pattern.h"

#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

namespace birchlever::model {
namespace {

constexpr auto kind_names = std::array<std::string_view, 6>{"daemons_cut", "answers_lost", "upstreams_dead",
                                                            "hall_dead",   "engines_slow", "burst"};

using words = std::map<std::string, std::string>;

auto fault(const std::string& line, const std::string& reason) -> error {
  return error{error_code::invalid_setting, "pattern line '" + line + "': " + reason};
}

/// Where a number of a line goes.
using number_fields = std::map<std::string, double*>;

auto put_numbers(const std::string& line, const words& given, const number_fields& fields) -> status {
  for (const auto& [name, text] : given) {
    auto field = fields.find(name);
    if (field == fields.end()) {
      return fault(line, "nothing is called " + name);
    }
    auto* end = static_cast<char*>(nullptr);
    *field->second = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0') {
      return fault(line, name + " is no number");
    }
  }
  return success;
}

auto words_of(std::istringstream& rest) -> words {
  auto given = words{};
  for (auto word = std::string{}; rest >> word;) {
    auto equals = word.find('=');
    given[word.substr(0, equals)] = equals == std::string::npos ? std::string{} : word.substr(equals + 1);
  }
  return given;
}

auto take_tool(const std::string& line, const words& given, load_pattern& into) -> status {
  auto tool = tool_shape{};
  auto times = 1.0;
  auto taken =
      put_numbers(line, given, {{"work_ms", &tool.work_ms_}, {"share", &tool.share_}, {"times", &times}});
  tool.times_ = static_cast<int>(times);
  into.tools_.push_back(tool);
  return taken;
}

auto take_program(const std::string& line, words given, load_pattern& into) -> status {
  auto shape = program_shape{};
  shape.name_ = given["name"];
  given.erase("name");
  auto rank = 0.0;
  auto taken = put_numbers(line, given,
                           {{"per_s", &shape.per_s_},
                            {"worth", &shape.worth_},
                            {"late_worth", &shape.late_worth_},
                            {"rank", &rank},
                            {"turns", &shape.turns_},
                            {"shared", &shape.shared_},
                            {"input", &shape.input_},
                            {"output", &shape.output_},
                            {"think_ms", &shape.think_ms_},
                            {"aim_factor", &shape.aim_factor_},
                            {"objective_ms", &shape.objective_ms_},
                            {"time_limit_ms", &shape.time_limit_ms_}});
  shape.rank_ = static_cast<int>(rank);
  into.programs_.push_back(std::move(shape));
  return taken;
}

auto take_disturbance(const std::string& line, words given, load_pattern& into) -> status {
  auto made = disturbance{};
  auto known = false;
  for (auto index = std::size_t{0}; index < kind_names.size(); ++index) {
    if (kind_names.at(index) == given["kind"]) {
      made.kind_ = static_cast<disturbance_kind>(index);
      known = true;
    }
  }
  if (!known) {
    return fault(line, "no kind of disturbance is called '" + given["kind"] + "'");
  }
  given.erase("kind");
  auto taken = put_numbers(line, given,
                           {{"at_ms", &made.at_ms_},
                            {"for_ms", &made.for_ms_},
                            {"share", &made.share_},
                            {"factor", &made.factor_}});
  into.disturbances_.push_back(made);
  return taken;
}

/// Whole numbers are read as the others are, and rounded once all lines were read.
struct whole_numbers {
  explicit whole_numbers(const load_pattern& from)
      : daemons_(from.daemons_),
        halls_(from.halls_),
        engines_(from.engines_),
        slots_(from.slots_),
        engine_queue_(from.engine_queue_),
        services_(from.services_),
        service_slots_(from.service_slots_),
        service_queue_(from.service_queue_) {}

  auto put_into(load_pattern& into) const -> void {
    into.daemons_ = static_cast<int>(daemons_);
    into.halls_ = static_cast<int>(halls_);
    into.engines_ = static_cast<int>(engines_);
    into.slots_ = static_cast<int>(slots_);
    into.engine_queue_ = static_cast<int>(engine_queue_);
    into.services_ = static_cast<int>(services_);
    into.service_slots_ = static_cast<int>(service_slots_);
    into.service_queue_ = static_cast<int>(service_queue_);
  }

  double daemons_;
  double halls_;
  double engines_;
  double slots_;
  double engine_queue_;
  double services_;
  double service_slots_;
  double service_queue_;
};

auto fields_of(load_pattern& made, whole_numbers& whole) -> number_fields {
  return {{"daemons", &whole.daemons_},
          {"halls", &whole.halls_},
          {"engines", &whole.engines_},
          {"slots", &whole.slots_},
          {"engine_queue", &whole.engine_queue_},
          {"services", &whole.services_},
          {"service_slots", &whole.service_slots_},
          {"service_queue", &whole.service_queue_},
          {"duration_ms", &made.duration_ms_},
          {"step_ms", &made.step_ms_},
          {"step_stream_ms", &made.step_stream_ms_},
          {"prefill_per_ms", &made.prefill_per_ms_},
          {"engine_tokens", &made.engine_tokens_},
          {"slow_speed", &made.slow_speed_},
          {"fast_speed", &made.fast_speed_},
          {"moves", &made.moves_}};
}

/// The text behind the first equals sign, without the blanks around it.
auto text_of(const std::string& line) -> std::string {
  auto begins = line.find_first_not_of(" =", line.find('='));
  return begins == std::string::npos ? std::string{} : line.substr(begins);
}

}  // namespace

auto parse_pattern(std::string_view text) -> result<load_pattern> {
  auto made = load_pattern{};
  auto whole = whole_numbers{made};
  auto fields = fields_of(made, whole);
  auto lines = std::istringstream{std::string{text}};
  for (auto line = std::string{}; std::getline(lines, line);) {
    auto rest = std::istringstream{line};
    auto first = std::string{};
    rest >> first;
    auto taken = status{success};
    if (first.empty() || first.front() == '#') {
      continue;
    }
    if (first == "stands_for" || first == "grounds") {
      (first == "grounds" ? made.grounds_ : made.stands_for_) = text_of(line);
    } else if (first == "tool") {
      taken = take_tool(line, words_of(rest), made);
    } else if (first == "program") {
      taken = take_program(line, words_of(rest), made);
    } else if (first == "disturb") {
      taken = take_disturbance(line, words_of(rest), made);
    } else {
      taken = put_numbers(line, {{first, text_of(line)}}, fields);
    }
    if (!ok(taken)) {
      return failure(taken);
    }
  }
  whole.put_into(made);
  if (made.stands_for_.empty() || made.grounds_.empty()) {
    return error{error_code::invalid_setting, "a pattern says what it stands for and its figures' grounds"};
  }
  return made;
}

auto read_pattern(const std::string& file) -> result<load_pattern> {
  auto stream = std::ifstream{file};
  if (!stream) {
    return error{error_code::invalid_setting, "no pattern can be read from " + file};
  }
  return parse_pattern(std::string{std::istreambuf_iterator<char>{stream}, {}});
}

}  // namespace birchlever::model
