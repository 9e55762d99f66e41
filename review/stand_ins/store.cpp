#include "store.h"

#include <chrono>
#include <set>

namespace review {
namespace {

using json = nlohmann::json;

constexpr auto idle_limit_ms = std::int64_t{60'000};
constexpr auto most_rows = std::size_t{500};
constexpr auto most_page_bytes = std::size_t{1'000'000};
constexpr auto most_entries = std::size_t{100};
constexpr auto most_transaction_bytes = std::size_t{1'000'000};
constexpr auto most_parts = std::size_t{1000};
constexpr auto transaction_ms = std::int64_t{8};  // tx_ms of the sheet.
constexpr auto read_ms = std::int64_t{4};         // An answer, by the sheet.
constexpr auto part_gap_ms = std::int64_t{7};     // part_writes_per_s 150, one after another.
constexpr auto most_part_wait_ms = std::int64_t{1000};
constexpr auto ms_per_s = 1000.0;

auto unescaped(const std::string& text) -> std::string {
  auto plain = std::string{};
  for (auto at = std::size_t{0}; at < text.size(); ++at) {
    if (text[at] == '%' && at + 2 < text.size()) {
      plain += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
      at += 2;
    } else {
      plain += text[at];
    }
  }
  return plain;
}

auto base64(const std::string& bytes) -> std::string {
  constexpr auto* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  auto text = std::string{};
  for (auto at = std::size_t{0}; at < bytes.size(); at += 3) {
    auto group = 0U;
    for (auto next = at; next < at + 3; ++next) {
      group = group << 8U | (next < bytes.size() ? static_cast<unsigned char>(bytes[next]) : 0U);
    }
    for (auto digit = 0U; digit < 4; ++digit) {
      auto used = at + digit <= bytes.size();
      text += used ? digits[group >> (18U - 6U * digit) & 63U] : '=';
    }
  }
  return text;
}

auto reply(int status, const json& body) -> std::string {
  return answer_bytes(status, {{"Content-Type", "application/json"}}, body.dump());
}

auto number_of(const std::map<std::string, std::string>& asked, const char* name, std::int64_t standard)
    -> std::int64_t {
  auto found = asked.find(name);
  return found == asked.end() || found->second.empty() ? standard : std::atoll(found->second.c_str());
}

auto text_of(const std::map<std::string, std::string>& asked, const char* name) -> std::string {
  auto found = asked.find(name);
  return found == asked.end() ? std::string{} : found->second;
}

}  // namespace

store::store(const std::string& ip) : listener_{ip, [this](connection& caller) { serve(caller); }} {}

auto store::put(const std::string& table, const std::string& key, const json& value) -> void {
  auto guard = std::lock_guard{lock_};
  ++version_;
  write({table, "", key}, base64(value.dump()));
  changed_.notify_all();
}

auto store::rate::take() -> bool {
  auto now = now_ms();
  left_ = std::min(left_ + per_s_ * static_cast<double>(now - filled_at_) / ms_per_s, per_s_);
  filled_at_ = now;
  auto allowed = left_ >= 1;
  left_ -= allowed ? 1 : 0;
  return allowed;
}

auto store::wait_for_part(const std::string& part) -> bool {
  auto begins = std::int64_t{0};
  {
    auto guard = std::lock_guard{lock_};
    auto& free_at = part_free_at_[part];
    begins = std::max(now_ms(), free_at);
    if (begins - now_ms() > most_part_wait_ms) {
      return false;
    }
    free_at = begins + part_gap_ms;
  }
  sleep_ms(begins + transaction_ms - now_ms());
  return true;
}

auto store::write(const row_name& name, const std::string& value) -> void {
  rows_[name] = {value, version_};
  changes_.push_back({name, version_, false});
}

auto store::shown(const row_name& name) const -> json {
  const auto& [table, part, key] = name;
  auto found = rows_.find(name);
  auto known = found != rows_.end();
  return {{"table", table},
          {"part", part},
          {"private_key", key},
          {"value", known ? found->second.value_ : ""},
          {"ver", known ? found->second.version_ : 0}};
}

auto store::serve(connection& caller) -> void {
  while (true) {
    auto request = caller.read_message(idle_limit_ms);
    if (!request || !caller.write(answer(*request))) {
      return;
    }
  }
}

auto store::answer(const message& request) -> std::string {
  auto target = request.second_word();
  auto mark = std::min(target.find('?'), target.size());
  auto path = target.substr(0, mark);
  auto asked = query{};
  auto rest = mark < target.size() ? target.substr(mark + 1) : std::string{};
  while (!rest.empty()) {
    auto item = rest.substr(0, rest.find('&'));
    rest = item.size() == rest.size() ? std::string{} : rest.substr(item.size() + 1);
    auto sign = std::min(item.find('='), item.size() - 1);
    asked[item.substr(0, sign)] = unescaped(item.substr(sign + 1));
  }
  auto writes = path == "/birchlever/rows-tx";
  {
    auto guard = std::lock_guard{lock_};
    if (!(writes ? writes_ : reads_).take()) {
      return reply(429, json::object());
    }
  }
  if (writes) {
    return transact(request.body_);
  }
  if (path == "/birchlever/rows-get") {
    return read(asked);
  }
  if (path == "/birchlever/rows-feed") {
    return feed(asked);
  }
  if (path == "/birchlever/rows-parts") {
    return parts(asked);
  }
  return reply(404, json::object());
}

auto store::transact(const std::string& body) -> std::string {
  auto asked = json::parse(body, nullptr, false);
  if (!asked.is_object()) {
    return reply(400, json::object());
  }
  auto conditions = asked.value("expected_revision", json::array());
  auto puts = asked.value("set_keys", json::array());
  auto removals = asked.value("remove", json::array());
  auto entries = conditions.size() + puts.size() + removals.size();
  auto name_of = [](const json& entry) -> row_name {
    return {entry.at("table"), entry.value("part", ""), entry.at("private_key")};
  };
  auto named_parts = std::set<std::string>{};
  for (const auto* list : {&conditions, &puts, &removals}) {
    for (const auto& entry : *list) {
      named_parts.insert(entry.value("part", ""));
    }
  }
  if (entries > most_entries || body.size() > most_transaction_bytes || named_parts.size() > 1) {
    return reply(400, json::object());
  }
  if (!named_parts.empty() && !wait_for_part(*named_parts.begin())) {
    return reply(429, json::object());
  }
  auto guard = std::lock_guard{lock_};
  auto holds = true;
  auto stand = json::array();
  for (const auto& condition : conditions) {
    auto now = shown(name_of(condition));
    holds = holds && now.at("ver") == condition.at("ver");
    stand.push_back(std::move(now));
  }
  auto told = json{{"ver", version_}, {"now_ms", now_ms()}};
  if (!holds) {
    told["rows"] = std::move(stand);
    return reply(412, told);
  }
  told["ver"] = ++version_;
  for (const auto& entry : puts) {
    write(name_of(entry), entry.at("value"));
  }
  for (const auto& entry : removals) {
    rows_.erase(name_of(entry));
    changes_.push_back({name_of(entry), version_, true});
  }
  changed_.notify_all();
  return reply(200, told);
}

auto store::read(const query& asked) -> std::string {
  sleep_ms(read_ms);
  auto table = text_of(asked, "table");
  auto part = text_of(asked, "part");
  auto until = text_of(asked, "target_version");
  auto limit = std::min(static_cast<std::size_t>(number_of(asked, "limit", most_rows)), most_rows);
  auto guard = std::lock_guard{lock_};
  auto page = json::array();
  auto bytes = std::size_t{0};
  auto more = false;
  for (auto next = rows_.lower_bound({table, part, text_of(asked, "from")}); next != rows_.end(); ++next) {
    const auto& [row_table, row_part, key] = next->first;
    if (row_table != table || row_part != part || (!until.empty() && key >= until)) {
      break;
    }
    if (page.size() >= limit || (!page.empty() && bytes + next->second.value_.size() > most_page_bytes)) {
      more = true;
      break;
    }
    bytes += next->second.value_.size();
    page.push_back(shown(next->first));
  }
  return reply(200, {{"rows", page}, {"has_more", more}, {"ver", version_}, {"now_ms", now_ms()}});
}

auto store::feed(const query& asked) -> std::string {
  auto table = text_of(asked, "table");
  auto after = number_of(asked, "after", 0);
  auto wait = std::chrono::milliseconds{number_of(asked, "wait_ms", 0)};
  auto guard = std::unique_lock{lock_};
  auto newest = std::map<row_name, change>{};
  auto look = [&] {
    for (auto next = changes_.rbegin(); next != changes_.rend() && next->version_ > after; ++next) {
      if (std::get<0>(next->name_) == table) {
        newest.emplace(next->name_, *next);
      }
    }
    return !newest.empty();
  };
  changed_.wait_for(guard, wait, look);
  auto ordered = std::vector<change>{};
  for (const auto& [name, one] : newest) {
    ordered.push_back(one);
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const change& left, const change& right) { return left.version_ < right.version_; });
  auto page = json::array();
  for (const auto& one : ordered) {
    auto entry = shown(one.name_);
    entry["ver"] = one.version_;
    if (one.removed_) {
      entry["tombstone"] = true;
    }
    page.push_back(std::move(entry));
  }
  return reply(200, {{"rows", page}, {"ver", version_}, {"now_ms", now_ms()}});
}

auto store::parts(const query& asked) -> std::string {
  sleep_ms(read_ms);
  auto table = text_of(asked, "table");
  auto after = text_of(asked, "after");
  auto guard = std::lock_guard{lock_};
  auto names = std::set<std::string>{};
  for (const auto& [name, stored] : rows_) {
    if (std::get<0>(name) == table && std::get<1>(name) > after && names.size() < most_parts) {
      names.insert(std::get<1>(name));
    }
  }
  return reply(200, {{"parts", names}, {"ver", version_}, {"now_ms", now_ms()}});
}

}  // namespace review
