/// The grammar of scenarios, in Spirit X3. A line that is no step of its own is a statement of the
/// operators' language, read by that language's own parser.
#include <boost/spirit/home/x3.hpp>

#include "birchlever/operators/statement.h"
#include "scenarios/scenario.h"

namespace birchlever::scenarios {
namespace {

namespace x3 = boost::spirit::x3;

struct verb_table : x3::symbols<step_verb> {
  verb_table() {
    add("start", step_verb::start)("stop", step_verb::stop)("kill", step_verb::kill)(
        "freeze", step_verb::freeze)("thaw", step_verb::thaw)("cut", step_verb::cut)(
        "lose answers", step_verb::lose_answers)("heal", step_verb::heal)("fault", step_verb::fault)(
        "leave", step_verb::leave)("load", step_verb::run_load)("wait load", step_verb::wait_load)(
        "wait ms", step_verb::wait_ms)("wait calls", step_verb::wait_calls)(
        "wait owner", step_verb::wait_owner)("race", step_verb::race)("roll", step_verb::roll)(
        "stranger", step_verb::stranger)("expect", step_verb::expect);
  }
};
const auto verbs = verb_table{};

struct line_tag;

auto line_of(auto& context) -> scenario_step& {
  return x3::get<line_tag>(context).get();
}

const auto set_verb = [](auto& context) { line_of(context).verb_ = x3::_attr(context); };
const auto add_name = [](auto& context) {
  auto& step = line_of(context);
  if (step.subject_.empty()) {
    step.subject_ = x3::_attr(context);
  } else {
    step.names_.push_back(x3::_attr(context));
  }
};
const auto add_number = [](auto& context) { line_of(context).numbers_.push_back(x3::_attr(context)); };
const auto word = x3::rule<class word_rule, std::string>{"a word"} =
    x3::lexeme[+(x3::alpha | x3::char_("_-"))];
const auto quoted = x3::rule<class quoted_rule, std::string>{"a quoted text"} =
    x3::lexeme['"' > *(x3::char_ - '"') > '"'];
const auto part = x3::double_[add_number] | quoted[add_name] | word[add_name];
const auto step = verbs[set_verb] > *part > x3::eoi;

auto fault_at(int line, std::size_t column, const std::string& expected) -> error {
  return error{error_code::syntax_error, "line " + std::to_string(line) + ", column " +
                                             std::to_string(column + 1) + ": expected " + expected};
}

auto trimmed(const std::string& line) -> std::string {
  auto first = line.find_first_not_of(" \t\r");
  auto last = line.find_last_not_of(" \t\r");
  return first == std::string::npos ? std::string{} : line.substr(first, last - first + 1);
}

auto parse_step(const std::string& text, int line) -> result<scenario_step> {
  auto parsed = scenario_step{};
  parsed.line_ = line;
  auto foreign = std::find_if(text.begin(), text.end(), [](char letter) { return letter < 0; });
  if (foreign != text.end()) {
    return fault_at(line, static_cast<std::size_t>(foreign - text.begin()), "ASCII text");
  }
  auto next = text.begin();
  try {
    auto grammar = x3::with<line_tag>(std::ref(parsed))[step];
    if (x3::phrase_parse(next, text.end(), grammar, x3::blank)) {
      return parsed;
    }
  } catch (const x3::expectation_failure<std::string::const_iterator>& fault) {
    return fault_at(line, static_cast<std::size_t>(fault.where() - text.begin()), fault.which());
  }
  auto statement = parse_statement(text);
  if (!ok(statement)) {
    return error{error_code::syntax_error, "line " + std::to_string(line) +
                                               " of the scenario: neither a step nor a "
                                               "statement; as a statement: " +
                                               failure(statement).detail_};
  }
  parsed.verb_ = step_verb::operate;
  parsed.names_ = {text};
  return parsed;
}

/// Header lines: `scenario NAME`, `daemons N`, `engines N`, `ignore fences`, `no keys`, `without MECHANISM`,
/// `settings TEXT`. False when the line is none.
auto take_header(const std::string& line, scenario& made) -> bool {
  auto value_after = [&line](const char* word) -> std::string {
    auto begin = std::string{word} + " ";
    return line.compare(0, begin.size(), begin) == 0 ? trimmed(line.substr(begin.size())) : std::string{};
  };
  auto take_text = [&](const char* word, std::string& field) {
    auto text = value_after(word);
    field = text.empty() ? field : text;
    return !text.empty();
  };
  auto count = std::string{};
  if (take_text("scenario", made.name_) || take_text("without", made.without_) ||
      take_text("settings", made.settings_)) {
    return true;
  }
  if (take_text("daemons", count)) {
    made.daemons_ = std::atoi(count.c_str());
    return true;
  }
  if (take_text("engines", count)) {
    made.engines_ = std::atoi(count.c_str());
    return true;
  }
  made.checks_fence_ = made.checks_fence_ && line != "ignore fences";
  made.knows_keys_ = made.knows_keys_ && line != "no keys";
  return line == "ignore fences" || line == "no keys";
}

}  // namespace

auto parse_scenario(const std::string& text) -> result<scenario> {
  auto made = scenario{};
  auto stream = std::istringstream{text};
  auto number = 0;
  for (auto raw = std::string{}; std::getline(stream, raw);) {
    ++number;
    auto line = trimmed(raw.substr(0, raw.find('#')));
    if (line.empty() || take_header(line, made)) {
      continue;
    }
    auto parsed = parse_step(line, number);
    if (!ok(parsed)) {
      return failure(parsed);
    }
    made.steps_.push_back(std::move(value(parsed)));
  }
  if (made.daemons_ < 1 || made.engines_ < 0) {
    return fault_at(1, 0, "at least one daemon");
  }
  return made;
}

}  // namespace birchlever::scenarios
