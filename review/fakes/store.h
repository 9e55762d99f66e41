/// A stand-in of the platform's store: rows in memory, with the published calls and limits.
#pragma once

#include "http_server.h"

#include <algorithm>
#include <atomic>
#include <boost/beast/core/detail/base64.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include "record.h"

namespace review {

using json = nlohmann::json;

/// Returns text in base64.
inline auto base64(const std::string& text) -> std::string {
  namespace codec = boost::beast::detail::base64;
  auto made = std::string(codec::encoded_size(text.size()), '\0');
  made.resize(codec::encode(made.data(), text.data(), text.size()));
  return made;
}

/// Returns the text that base64 stands for.
inline auto from_base64(const std::string& text) -> std::string {
  namespace codec = boost::beast::detail::base64;
  auto made = std::string(codec::decoded_size(text.size()), '\0');
  made.resize(codec::decode(made.data(), text.data(), text.size()).first);
  return made;
}

/// Rows, transactions and the feed of changes. Answers are linearizable.
class store {
 public:
  store(const std::string& ip, unsigned short port)
      : server_{ip, port,
                [this](const request& call, server_session& session) { return answer(call, session); }} {}

  /// Writes a row of the operator's or of the servers' tables.
  auto put(const std::string& table, const std::string& key, const json& value) -> long {
    auto lock = std::unique_lock{mutex_};
    ++version_;
    set({table, "", key}, base64(value.dump()));
    changed_.notify_all();
    return version_;
  }

  /// Removes a row of the servers' table.
  auto remove(const std::string& table, const std::string& key) -> void {
    auto lock = std::unique_lock{mutex_};
    ++version_;
    erase({table, "", key});
    changed_.notify_all();
  }

  /// Makes each answer take this many times as long.
  auto slow_down(int times) -> void { slow_ = times; }

  /// Does this share of the transactions without an answer, at once or 1 to 6 s later. 0 ends it.
  auto lose_answers(double share, bool late) -> void {
    late_ = late;
    lost_share_ = share;
  }

  /// While set, each call is answered with this status and not done; 0 ends it.
  auto refuse_with(unsigned status) -> void { refusal_ = status; }

 private:
  using row_key = std::tuple<std::string, std::string, std::string>;

  struct row {
    std::string value_;
    long version_ = 0;
  };

  struct change {
    row_key key_;
    std::string value_;
    long version_ = 0;
    bool removed_ = false;
  };

  static constexpr auto read_ms = 4;
  static constexpr auto transaction_ms = 8;
  static constexpr auto max_page_rows = std::size_t{500};
  static constexpr auto max_page_bytes = std::size_t{1'000'000};
  static constexpr auto max_entries = std::size_t{100};
  static constexpr auto max_transaction_bytes = std::size_t{1'000'000};

  static auto drawn_below(double share) -> bool {
    return share > 0 && std::rand() < share * static_cast<double>(RAND_MAX);
  }

  static auto unescape(const std::string& text) -> std::string {
    auto plain = std::string{};
    for (auto at = std::size_t{0}; at < text.size(); ++at) {
      if (text[at] == '%' && at + 2 < text.size()) {
        plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
        at += 2;
      } else {
        plain += text[at] == '+' ? ' ' : text[at];
      }
    }
    return plain;
  }

  static auto parameters(const std::string& target) -> std::map<std::string, std::string> {
    auto found = std::map<std::string, std::string>{};
    auto mark = target.find('?');
    auto query = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
    while (!query.empty()) {
      auto item = query.substr(0, query.find('&'));
      query = item.size() == query.size() ? std::string{} : query.substr(item.size() + 1);
      auto sign = item.find('=');
      if (sign != std::string::npos) {
        found[item.substr(0, sign)] = unescape(item.substr(sign + 1));
      }
    }
    return found;
  }

  static auto to_json(const row_key& key, const std::string& value, long version) -> json {
    return {{"table", std::get<0>(key)},
            {"part", std::get<1>(key)},
            {"private_key", std::get<2>(key)},
            {"value", value},
            {"ver", version}};
  }

  static auto key_of(const json& entry) -> row_key {
    return {entry.at("table"), entry.at("part"), entry.at("private_key")};
  }

  auto pause(int usual_ms) -> void {
    std::this_thread::sleep_for(std::chrono::milliseconds{usual_ms * slow_.load()});
  }

  auto set(const row_key& key, const std::string& value) -> void {
    rows_[key] = {value, version_};
    log_.push_back({key, value, version_, false});
  }

  auto erase(const row_key& key) -> void {
    rows_.erase(key);
    log_.push_back({key, "", version_, true});
  }

  auto heading() -> json { return {{"ver", version_}, {"now_ms", now_ms() + clock_start_ms}}; }

  auto answer(const request& call, server_session& session) -> bool {
    auto target = std::string{call.target()};
    auto path = target.substr(0, target.find('?'));
    if (auto status = refusal_.load()) {
      return session.write(reply(status, "{}"));
    }
    if (path == "/birchlever/rows-tx" && drawn_below(lost_share_)) {
      if (late_) {
        std::this_thread::sleep_for(std::chrono::milliseconds{1000 + std::rand() % 5000});
      }
      transact(call.body());
      std::this_thread::sleep_for(std::chrono::seconds{20});  // The channel says nothing more.
      return false;
    }
    if (path == "/birchlever/rows-tx") {
      return session.write(transact(call.body()));
    }
    if (path == "/birchlever/rows-get") {
      return session.write(read(parameters(target)));
    }
    if (path == "/birchlever/rows-feed") {
      return session.write(feed(parameters(target)));
    }
    if (path == "/birchlever/rows-parts") {
      return session.write(list_parts(parameters(target)));
    }
    return session.write(reply(404, "{}"));
  }

  auto transact(const std::string& body) -> response {
    auto parsed = json::parse(body);
    auto entries =
        parsed.at("expected_revision").size() + parsed.at("set_keys").size() + parsed.at("remove").size();
    if (entries > max_entries || body.size() > max_transaction_bytes) {
      return reply(413, "{}");
    }
    pause(transaction_ms);
    auto lock = std::unique_lock{mutex_};
    auto stands = json::array();
    auto holds = true;
    for (const auto& condition : parsed.at("expected_revision")) {
      auto key = key_of(condition);
      auto found = rows_.find(key);
      auto version = found == rows_.end() ? 0 : found->second.version_;
      holds = holds && version == condition.at("ver").get<long>();
      stands.push_back(to_json(key, version == 0 ? "" : found->second.value_, version));
    }
    if (!holds) {
      auto answer = heading();
      answer["rows"] = stands;
      return reply(412, answer.dump());
    }
    ++version_;
    for (const auto& entry : parsed.at("set_keys")) {
      set(key_of(entry), entry.at("value").get<std::string>());
    }
    for (const auto& entry : parsed.at("remove")) {
      erase(key_of(entry));
    }
    changed_.notify_all();
    return reply(200, heading().dump());
  }

  auto read(std::map<std::string, std::string> asked) -> response {
    pause(read_ms);
    auto limit = asked["limit"].empty() ? max_page_rows
                                        : std::min<std::size_t>(std::stoul(asked["limit"]), max_page_rows);
    auto until = asked["target_version"];
    auto lock = std::unique_lock{mutex_};
    auto answer = heading();
    answer["rows"] = json::array();
    answer["has_more"] = false;
    auto bytes = std::size_t{0};
    for (auto at = rows_.lower_bound({asked["table"], asked["part"], asked["from"]}); at != rows_.end();
         ++at) {
      const auto& [table, part, key] = at->first;
      if (table != asked["table"] || part != asked["part"] || (!until.empty() && key >= until)) {
        break;
      }
      bytes += at->second.value_.size();
      if (answer["rows"].size() >= limit || (bytes > max_page_bytes && !answer["rows"].empty())) {
        answer["has_more"] = true;
        break;
      }
      answer["rows"].push_back(to_json(at->first, at->second.value_, at->second.version_));
    }
    lock.unlock();
    return reply(200, answer.dump());
  }

  auto feed(std::map<std::string, std::string> asked) -> response {
    pause(read_ms);
    auto after = std::stol(asked["after"].empty() ? "0" : asked["after"]);
    auto wait = std::chrono::milliseconds{std::stol(asked["wait_ms"].empty() ? "0" : asked["wait_ms"])};
    auto rows = json::array();
    auto collect = [&] {
      rows = json::array();
      auto first = std::lower_bound(log_.begin(), log_.end(), after + 1,
                                    [](const change& one, long version) { return one.version_ < version; });
      for (; first != log_.end(); ++first) {
        if (std::get<0>(first->key_) == asked["table"]) {
          rows.push_back(to_json(first->key_, first->value_, first->version_));
          rows.back()["tombstone"] = first->removed_;
        }
      }
      return !rows.empty();
    };
    auto lock = std::unique_lock{mutex_};
    changed_.wait_for(lock, wait, collect);
    auto answer = heading();
    answer["rows"] = rows;
    lock.unlock();
    return reply(200, answer.dump());
  }

  auto list_parts(std::map<std::string, std::string> asked) -> response {
    pause(read_ms);
    auto parts = std::set<std::string>{};
    auto lock = std::unique_lock{mutex_};
    for (const auto& [key, row] : rows_) {
      if (std::get<0>(key) == asked["table"] && std::get<1>(key) > asked["after"]) {
        parts.insert(std::get<1>(key));
      }
    }
    return reply(200, json{{"parts", parts}, {"has_more", false}}.dump());
  }

  static constexpr auto clock_start_ms = 50'000L;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<row_key, row> rows_;
  std::deque<change> log_;
  long version_ = 1;
  std::atomic<int> slow_ = 1;
  std::atomic<double> lost_share_ = 0;
  std::atomic<bool> late_ = false;
  std::atomic<unsigned> refusal_ = 0;
  http_server server_;
};

}  // namespace review
