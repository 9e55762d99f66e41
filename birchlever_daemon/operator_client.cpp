#include "birchlever_daemon/operator_client.h"

#include <readline/history.h>
#include <readline/readline.h>

#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "birchlever/operators/statement.h"
#include "birchlever/storage/http_connection_pool.h"
#include "birchlever_daemon/comparison_plot.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto answer_timeout_ms = 60000;
constexpr auto widest_cell = std::size_t{60};

auto cell_of(const json& field) -> std::string {
  auto text = field.is_string() ? field.get<std::string>() : field.dump();
  return text.size() > widest_cell ? text.substr(0, widest_cell - 3) + "..." : text;
}

auto columns_of(const json& rows) -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  for (const auto& row : rows) {
    for (const auto& [name, field] : row.items()) {
      if (std::find(names.begin(), names.end(), name) == names.end()) {
        names.push_back(name);
      }
    }
  }
  return names;
}

auto print_table(const json& rows) -> void {
  auto names = columns_of(rows);
  auto widths = std::map<std::string, std::size_t>{};
  for (const auto& name : names) {
    widths[name] = name.size();
    for (const auto& row : rows) {
      widths[name] = std::max(widths[name], cell_of(row.value(name, json{})).size());
    }
  }
  auto print_line = [&](auto text_for) {
    for (const auto& name : names) {
      auto text = std::string{text_for(name)};
      std::cout << text << std::string(widths[name] - text.size() + 2, ' ');
    }
    std::cout << '\n';
  };
  print_line([](const std::string& name) { return name; });
  for (const auto& row : rows) {
    print_line([&](const std::string& name) { return cell_of(row.value(name, json{})); });
  }
}

auto write_csv(const std::string& path, const json& rows) -> void {
  auto file = std::ofstream{path};
  auto names = columns_of(rows);
  for (const auto& name : names) {
    file << name << ',';
  }
  file << '\n';
  for (const auto& row : rows) {
    for (const auto& name : names) {
      file << row.value(name, json{}).dump() << ',';
    }
    file << '\n';
  }
}

/// Called by readline for each candidate word in turn.
auto next_completion(const char* begun, int state) -> char* {
  static auto place = std::size_t{0};
  place = state == 0 ? 0 : place;
  const auto& words = completion_words();
  while (place < words.size()) {
    const auto& word = words[place++];
    if (word.compare(0, std::strlen(begun), begun) == 0) {
      return strdup(word.c_str());
    }
  }
  return nullptr;
}

auto complete(const char* begun, int, int) -> char** {
  return rl_completion_matches(begun, next_completion);
}

}  // namespace

operator_client::operator_client(std::string daemon, std::string key, std::string format, std::string plot,
                                 std::string csv)
    : daemon_{std::move(daemon)},
      key_{std::move(key)},
      format_{std::move(format)},
      plot_{std::move(plot)},
      csv_{std::move(csv)} {}

auto operator_client::print(const std::string& body) const -> void {
  auto answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    std::cout << body << '\n';
    return;
  }
  auto rows = answer.value("rows", json::array());
  if (format_ == "json") {
    for (const auto& row : rows) {
      std::cout << row.dump() << '\n';
    }
  } else {
    print_table(rows);
  }
  for (const auto& verdict : answer.value("verdicts", json::array())) {
    std::cout << verdict.dump() << '\n';
  }
  auto silent = answer.value("silent", json::array());
  if (!silent.empty()) {
    std::cout << "no answer from: " << silent.dump() << '\n';
  }
  if (!csv_.empty()) {
    write_csv(csv_, rows);
  }
  if (!plot_.empty()) {
    write_comparison_plot(plot_, rows.dump());
  }
}

auto operator_client::run(const std::string& statement) -> bool {
  auto target = parse_endpoint(daemon_);
  if (!ok(target)) {
    std::cerr << failure(target).detail_ << '\n';
    return false;
  }
  auto settings = http_pool_settings{};
  settings.response_timeout_ = answer_timeout_ms;
  auto pool = http_connection_pool::create(settings);
  auto answer = value(pool)->request(value(target), "POST", "/v1/operate", statement,
                                     {{"Authorization", "Bearer " + key_}});
  if (!ok(answer)) {
    std::cerr << failure(answer).detail_ << '\n';
    return false;
  }
  if (value(answer).status_ != 200) {
    std::cerr << value(answer).body_ << '\n';
    return false;
  }
  print(value(answer).body_);
  return true;
}

auto operator_client::prompt() -> bool {
  rl_attempted_completion_function = complete;
  auto reached = false;
  while (auto* line = readline("birchlever> ")) {
    auto statement = std::string{line};
    std::free(line);
    if (statement.empty()) {
      continue;
    }
    if (statement == "quit" || statement == "exit") {
      return true;
    }
    add_history(statement.c_str());
    reached = run(statement) || reached;
  }
  return reached;
}

}  // namespace birchlever
