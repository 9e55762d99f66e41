/// The grammar of the operators' language, in Spirit X3: every form of docs/LANGUAGE.md stands here.
#include <array>
#include <boost/spirit/home/x3.hpp>

#include "birchlever/operators/statement.h"

namespace birchlever {
namespace {

namespace x3 = boost::spirit::x3;

constexpr auto verb_names = std::array<std::string_view, 18>{
    "show",          "explain",        "compare",     "create policy", "load policy",  "shadow policy",
    "retire policy", "split policies", "drain",       "undrain",       "set account",  "remove account",
    "move shard",    "unpin shard",    "end program", "load model",    "load adapter", "change role"};

/// The statement under construction, reached from semantic actions.
struct statement_tag;

auto draft(auto& context) -> statement& {
  return x3::get<statement_tag>(context).get();
}

template <class Field>
auto store(Field statement::*field) {
  return [field](auto& context) { draft(context).*field = x3::_attr(context); };
}

template <class Field, class Value>
auto put(Field statement::*field, Value fixed) {
  return [field, fixed](auto& context) { draft(context).*field = fixed; };
}

auto keyword(const char* word) {
  return x3::lexeme[x3::lit(word) >> !(x3::alnum | '_')];
}

const auto name_letter = x3::alnum | x3::char_("_.:-");
const auto name = x3::rule<class name_rule, std::string>{"a name"} = x3::lexeme[+name_letter];
const auto quoted = x3::rule<class quoted_rule, std::string>{"a quoted text"} =
    x3::lexeme['\'' > *(x3::char_ - '\'') > '\''];
const auto whole = x3::rule<class whole_rule, std::int64_t>{"a whole number"} = x3::int64;
const auto number = x3::rule<class number_rule, double>{"a number"} = x3::double_;
const auto field_value = x3::rule<class value_rule, std::string>{"a value"} = quoted | name;

struct subject_table : x3::symbols<std::string> {
  subject_table() {
    for (const auto* word : {"programs", "calls", "engines", "daemons", "shards", "policies", "configuration",
                             "generations", "accounts"}) {
      add(word, word);
    }
  }
};
const auto subjects = subject_table{};
const auto subject = x3::rule<class subject_rule, std::string>{
    "what to show (programs, calls, engines, daemons, "
    "shards, policies, accounts, configuration, "
    "generations)"} = subjects;

struct operator_table : x3::symbols<comparison> {
  operator_table() {
    add("=", comparison::equal)("!=", comparison::not_equal)("<", comparison::less)(
        "<=", comparison::less_or_equal)(">", comparison::greater)(">=", comparison::greater_or_equal)(
        "~", comparison::contains);
  }
};
const auto operators = operator_table{};
const auto compares = x3::rule<class compares_rule, comparison>{"a comparison (= != < <= > >= ~)"} =
    operators;

const auto begin_condition = [](auto& context) {
  draft(context).conditions_.push_back({x3::_attr(context)});
};
const auto set_operator = [](auto& context) {
  draft(context).conditions_.back().operator_ = x3::_attr(context);
};
const auto set_value = [](auto& context) { draft(context).conditions_.back().value_ = x3::_attr(context); };
const auto condition = name[begin_condition] > compares[set_operator] > field_value[set_value];
const auto where = keyword("where") > (condition % keyword("and"));
const auto order = keyword("order") > keyword("by") > name[store(&statement::order_field_)] >
                   -(keyword("desc")[put(&statement::descending_, true)] | keyword("asc"));
const auto limit = keyword("limit") > whole[store(&statement::number_)];
const auto show = keyword("show")[put(&statement::verb_, statement_verb::show)] >
                  subject[store(&statement::subject_)] > -where > -order > -limit;

const auto program = name[store(&statement::subject_)] > '/' > name[store(&statement::name_)];
const auto explain = keyword("explain")[put(&statement::verb_, statement_verb::explain)] >
                     keyword("program") > program;

const auto add_name = [](auto& context) { draft(context).shares_.emplace_back(x3::_attr(context), 0); };
const auto compare = keyword("compare")[put(&statement::verb_, statement_verb::compare)] >
                     keyword("policies") > (name[add_name] % ',');

const auto begin_parameter = [](auto& context) { draft(context).target_ = x3::_attr(context); };
const auto set_parameter = [](auto& context) {
  auto& made = draft(context);
  made.parameters_[made.target_] = x3::_attr(context);
};
const auto parameter = name[begin_parameter] > '=' > number[set_parameter];
const auto create = keyword("create")[put(&statement::verb_, statement_verb::create_policy)] >
                    keyword("policy") > name[store(&statement::name_)] >
                    keyword("using") > name[store(&statement::subject_)] >
                    -(keyword("with") > (parameter % ','));
const auto load_policy = keyword("policy")[put(&statement::verb_, statement_verb::load_policy)] >
                         name[store(&statement::name_)] >
                         -(keyword("share") > whole[store(&statement::number_)]);
const auto load_model = (keyword("model")[put(&statement::verb_, statement_verb::load_model)] |
                         keyword("adapter")[put(&statement::verb_, statement_verb::load_adapter)]) >
                        name[store(&statement::name_)] > keyword("on") > name[store(&statement::target_)];
const auto load = keyword("load") > (load_policy | load_model);
const auto shadow = keyword("shadow")[put(&statement::verb_, statement_verb::shadow_policy)] >
                    keyword("policy") > name[store(&statement::name_)];
const auto retire = keyword("retire")[put(&statement::verb_, statement_verb::retire_policy)] >
                    keyword("policy") > name[store(&statement::name_)];
const auto set_share = [](auto& context) { draft(context).shares_.back().second = x3::_attr(context); };
const auto share = name[add_name] > whole[set_share];
const auto split = keyword("split")[put(&statement::verb_, statement_verb::split_policies)] >
                   keyword("policies") > (share % ',');

const auto drained = (keyword("upstream")[put(&statement::subject_, "upstream")] |
                      keyword("hall")[put(&statement::subject_, "hall")]) > name[store(&statement::name_)];
const auto drain = keyword("drain")[put(&statement::verb_, statement_verb::drain)] > drained;
const auto undrain = keyword("undrain")[put(&statement::verb_, statement_verb::undrain)] > drained;

const auto set_account = keyword("set")[put(&statement::verb_, statement_verb::set_account)] >
                         keyword("account") > name[store(&statement::name_)] >
                         -(keyword("key") > quoted[store(&statement::target_)]) >
                         -(keyword("limit") > whole[store(&statement::number_)]);
const auto remove = keyword("remove")[put(&statement::verb_, statement_verb::remove_account)] >
                    keyword("account") > name[store(&statement::name_)];
const auto move = keyword("move")[put(&statement::verb_, statement_verb::move_shard)] >
                  keyword("shard") > whole[store(&statement::number_)] >
                  keyword("to") > name[store(&statement::target_)];
const auto unpin = keyword("unpin")[put(&statement::verb_, statement_verb::unpin_shard)] >
                   keyword("shard") > whole[store(&statement::number_)];
const auto end = keyword("end")[put(&statement::verb_, statement_verb::end_program)] >
                 keyword("program") > program;
const auto change = keyword("change")[put(&statement::verb_, statement_verb::change_role)] > keyword("role") >
                    keyword("of") > name[store(&statement::name_)] >
                    keyword("to") > name[store(&statement::target_)];

const auto set_generation = [](auto& context) { draft(context).if_generation_ = x3::_attr(context); };
const auto options = -(keyword("if") > keyword("generation") > whole[set_generation]) >
                     -(keyword("dry")[put(&statement::dry_run_, true)] > keyword("run"));

const auto form =
    x3::rule<class form_rule>{
        "a statement (show, explain, compare, create, load, shadow, retire, split, drain, undrain, set, "
        "remove, "
        "move, unpin, end, change)"} = show | explain | compare | create | load | shadow | retire | split |
                                       drain | undrain | set_account | remove | move | unpin | end | change;
const auto whole_statement = form > options > -x3::lit(';') > x3::eoi;

auto syntax_fault(const std::string& text, std::size_t offset, const std::string& expected) -> error {
  while (offset < text.size() && (text[offset] == ' ' || text[offset] == '\n')) {
    ++offset;  // The place of the word that is wrong, not of the blank before it.
  }
  auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n');
  auto line_begin = text.rfind('\n', offset == 0 ? 0 : offset - 1);
  auto column = offset - (line_begin == std::string::npos ? 0 : line_begin + 1) + 1;
  return error{error_code::syntax_error, "line " + std::to_string(line) + ", column " +
                                             std::to_string(column) + ": expected " + expected};
}

}  // namespace

auto name_of(statement_verb verb) -> std::string_view {
  return verb_names.at(static_cast<std::size_t>(verb));
}

auto is_command(const statement& parsed) -> bool {
  return parsed.verb_ != statement_verb::show && parsed.verb_ != statement_verb::explain &&
         parsed.verb_ != statement_verb::compare;
}

auto parse_statement(const std::string& text) -> result<statement> {
  auto parsed = statement{};
  auto next = text.begin();
  auto offset_of = [&text](auto place) { return static_cast<std::size_t>(place - text.begin()); };
  auto foreign = std::find_if(text.begin(), text.end(), [](char letter) { return letter < 0; });
  if (foreign != text.end()) {
    return syntax_fault(text, offset_of(foreign), "ASCII text");  // The grammar's character classes need it.
  }
  try {
    auto grammar = x3::with<statement_tag>(std::ref(parsed))[whole_statement];
    if (x3::phrase_parse(next, text.end(), grammar, x3::space)) {
      return parsed;
    }
  } catch (const x3::expectation_failure<std::string::const_iterator>& fault) {
    return syntax_fault(text, offset_of(fault.where()), fault.which());
  }
  return syntax_fault(
      text, offset_of(next),
      "a statement: show, explain, compare, create, load, shadow, retire, split, drain, undrain, "
      "set, remove, move, unpin, end or change");
}

auto completion_words() -> const std::vector<std::string>& {
  static const auto words = std::vector<std::string>{"show",
                                                     "programs",
                                                     "calls",
                                                     "engines",
                                                     "daemons",
                                                     "shards",
                                                     "policies",
                                                     "accounts",
                                                     "configuration",
                                                     "generations",
                                                     "where",
                                                     "order by",
                                                     "limit",
                                                     "explain program",
                                                     "compare policies",
                                                     "create policy",
                                                     "using",
                                                     "with",
                                                     "load policy",
                                                     "share",
                                                     "shadow policy",
                                                     "retire policy",
                                                     "split policies",
                                                     "drain upstream",
                                                     "drain hall",
                                                     "undrain upstream",
                                                     "undrain hall",
                                                     "set account",
                                                     "key",
                                                     "remove account",
                                                     "move shard",
                                                     "to",
                                                     "unpin shard",
                                                     "end program",
                                                     "load model",
                                                     "load adapter",
                                                     "on",
                                                     "change role of",
                                                     "if generation",
                                                     "dry run",
                                                     "round_robin",
                                                     "least_loaded",
                                                     "prefix_affinity",
                                                     "least_attained_service",
                                                     "program_aware"};
  return words;
}

}  // namespace birchlever
