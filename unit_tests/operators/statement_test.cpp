#include "birchlever/operators/statement.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "birchlever/operators/configuration_editor.h"
#include "birchlever/operators/row_filter.h"
#include "birchlever/operators/statistics.h"

namespace birchlever {

TEST_CASE("questions are read with their conditions, order and limit") {
  auto parsed =
      parse_statement("show programs where account = notary and spent >= 10 order by spent desc limit 5");
  REQUIRE(ok(parsed));
  const auto& made = value(parsed);
  CHECK(made.subject_ == "programs");
  REQUIRE(made.conditions_.size() == 2);
  CHECK(made.conditions_[1].operator_ == comparison::greater_or_equal);
  CHECK(made.conditions_[1].value_ == "10");
  CHECK(made.order_field_ == "spent");
  CHECK(made.descending_);
  CHECK(made.number_ == 5);
}

TEST_CASE("commands are read with their options") {
  auto parsed = parse_statement(
      "create policy mine using program_aware with cache_weight = 2.5, hall_ms=1 if generation 7 dry run");
  REQUIRE(ok(parsed));
  CHECK(value(parsed).parameters_.at("cache_weight") == 2.5);
  CHECK(value(parsed).if_generation_ == 7);
  CHECK(value(parsed).dry_run_);
  auto split = parse_statement("split policies a 70, b 30");
  REQUIRE(ok(split));
  CHECK(value(split).shares_ == std::vector<std::pair<std::string, std::int64_t>>{{"a", 70}, {"b", 30}});
  CHECK(ok(parse_statement("load model tiny on engine-3")));
  CHECK(ok(parse_statement("change role of engine-1 to spare")));
  CHECK(ok(parse_statement("set account notary key 'secret key' limit 5;")));
  CHECK(ok(parse_statement("end program notary/p-1")));
}

TEST_CASE("syntax errors name the column and what was expected") {
  auto parsed = parse_statement("show programs where spent ?? 3");
  REQUIRE(!ok(parsed));
  CHECK(failure(parsed).code_ == error_code::syntax_error);
  CHECK(failure(parsed).detail_.find("column 27") != std::string::npos);
  CHECK(failure(parsed).detail_.find("comparison") != std::string::npos);
  CHECK(!ok(parse_statement("")));
  CHECK(!ok(parse_statement("show programs limit")));
  CHECK(!ok(parse_statement("show programs extra")));
}

TEST_CASE("no text makes the parser fail otherwise than by type") {
  auto generator = std::mt19937_64{5};
  auto valid =
      std::string{"show programs where account = notary and spent >= 10 order by spent desc limit 5"};
  for (auto round = 0; round < 3000; ++round) {
    auto text = valid;
    for (auto change = 0; change < 4; ++change) {
      text[generator() % text.size()] = static_cast<char>(generator() % 256);
    }
    auto parsed = parse_statement(text.substr(0, generator() % (text.size() + 1)));
    if (!ok(parsed)) {
      CHECK(failure(parsed).code_ == error_code::syntax_error);
    }
  }
}

TEST_CASE("commands that make no sense are refused with their reason") {
  auto refused = [](const char* text) {
    auto edited = edit_configuration(value(parse_statement(text)), {});
    return !ok(edited) && failure(edited).code_ == error_code::invalid_command;
  };
  CHECK(refused("create policy p using nonsense"));
  CHECK(refused("create policy p using program_aware with nonsense = 1"));
  CHECK(refused("create policy p using prefix_affinity with overload = 0.5"));
  CHECK(refused("load policy p"));
  CHECK(refused("split policies p 3"));
  CHECK(refused("undrain upstream engine-1"));
  CHECK(refused("set account notary key 'short'"));
  CHECK(refused("remove account nobody"));
  auto one_account = edit_configuration(value(parse_statement("set account notary key 'long-enough'")), {});
  REQUIRE(ok(one_account));
  CHECK(ok(edit_configuration(value(parse_statement("set account notary key 'long-enough'")),
                              value(one_account))));
  CHECK(!ok(edit_configuration(value(parse_statement("set account survey key 'long-enough'")),
                               value(one_account))));
}

TEST_CASE("rows are filtered and ordered by value") {
  auto rows = nlohmann::json::parse(R"([{"a":10,"n":"x"},{"a":9,"n":"y"},{"a":100,"n":"z"}])");
  auto parsed = value(parse_statement("show programs where a > 9 order by a desc limit 1"));
  keep_matching(rows, parsed.conditions_);
  CHECK(rows.size() == 2);
  order_and_limit(rows, parsed);
  REQUIRE(rows.size() == 1);
  CHECK(rows[0]["n"] == "z");
}

TEST_CASE("a comparison is sure only when the samples are") {
  auto slow = std::vector<double>{};
  auto fast = std::vector<double>{};
  for (auto sample = 0; sample < 50; ++sample) {
    slow.push_back(100 + sample % 7);
    fast.push_back(90 + sample % 7);
  }
  auto clear = difference_of_means(slow, fast);
  CHECK(clear.low_ > 0);
  CHECK(clear.value_ == Approx(10));
  auto same = difference_of_means(slow, slow);
  CHECK(same.low_ < 0);
  CHECK(same.high_ > 0);
  CHECK(bootstrap_quantile(slow, 0.95).value_ == bootstrap_quantile(slow, 0.95).value_);
  CHECK(quantile_of({}, 0.5) == 0);
}

}  // namespace birchlever
