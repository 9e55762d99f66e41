#include "birchlever/telemetry/loss_ledger.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace birchlever {
namespace {

using json = nlohmann::json;

constexpr auto ms_per_second = std::int64_t{1000};
constexpr auto most_ids = std::size_t{3};
constexpr auto most_seconds = std::size_t{5};

/// The cause of a loss that a line tells of, or an empty text.
auto cause_of(const json& line) -> std::string {
  auto event = line.value("event", "");
  if (event == "request_refused") {
    return "refused " + std::to_string(line.value("status", 0)) + ": " + line.value("detail", "");
  }
  if (event == "stream_broken_off") {
    return "stream broken off: " + line.value("reason", "");
  }
  auto outcome = line.value("outcome", "");
  auto lost = event == "request_offered" && outcome != "relayed" && outcome != "broken_off";
  return lost ? "offer: " + outcome : std::string{};
}

auto quantile(std::vector<double> samples, double share) -> double {
  if (samples.empty()) {
    return 0;
  }
  std::sort(samples.begin(), samples.end());
  return samples[static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1))];
}

auto worst_seconds(const std::map<std::int64_t, std::int64_t>& counts) -> std::string {
  auto ordered = std::vector<std::pair<std::int64_t, std::int64_t>>{counts.begin(), counts.end()};
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const auto& left, const auto& right) { return left.second > right.second; });
  ordered.resize(std::min(ordered.size(), most_seconds));
  auto text = std::ostringstream{};
  for (const auto& [second, count] : ordered) {
    text << (text.tellp() > 0 ? ", " : "") << second << " (" << count << ")";
  }
  return text.str();
}

auto joined(const std::vector<std::string>& words) -> std::string {
  auto text = std::string{};
  for (const auto& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

}  // namespace

auto loss_ledger::take(std::string_view line) -> bool {
  auto begin = line.find('{');
  auto object = begin == std::string_view::npos ? json{} : json::parse(line.substr(begin), nullptr, false);
  if (!object.is_object() || !object.contains("event") || !object.contains("time_ms")) {
    ++unreadable_;
    return false;
  }
  auto second = object.value("time_ms", std::int64_t{0}) / ms_per_second;
  auto route = object.value("route", "(no route)");
  auto cause = cause_of(object);
  if (!cause.empty()) {
    auto& lost = losses_[route + " | " + cause];
    ++lost.count_;
    ++lost.by_second_[second];
    ++by_second_[second];
    lost.held_ms_ += object.value("held_ms", object.value("took_ms", 0.0));
    if (lost.first_requests_.size() < most_ids) {
      lost.first_requests_.push_back(object.value("request", ""));
    }
  }
  if (object.value("event", "") == "request_offered") {
    auto& offered = offers_[route];
    ++offered.offers_;
    offered.relayed_ += object.value("outcome", "") == "relayed" ? 1 : 0;
    auto prompt = object.value("prompt_tokens", std::int64_t{0});
    offered.prompt_tokens_ += prompt;
    offered.missing_tokens_ +=
        std::max<std::int64_t>(prompt - object.value("held_tokens", std::int64_t{0}), 0);
    offered.waited_ms_.push_back(object.value("waited_ms", 0.0));
    offered.took_ms_.push_back(object.value("took_ms", 0.0));
  }
  return true;
}

auto loss_ledger::to_text() const -> std::string {
  auto ordered = std::vector<std::pair<std::string, loss_record>>{losses_.begin(), losses_.end()};
  std::stable_sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) {
    return left.second.count_ > right.second.count_;
  });
  auto text = std::ostringstream{};
  text << std::fixed << std::setprecision(0);
  text << "| route | cause | count | held, ms at the mean | seconds with most | first requests "
          "|\n|---|---|---|---|---|---|\n";
  for (const auto& [cause, lost] : ordered) {
    text << "| " << cause << " | " << lost.count_ << " | " << lost.held_ms_ / static_cast<double>(lost.count_)
         << " | " << worst_seconds(lost.by_second_) << " | " << joined(lost.first_requests_) << " |\n";
  }
  text << "\n| route | offers | relayed | prompt tokens | believed missing | waited p50, p99 ms | took p50, "
          "p99 ms "
          "|\n|---|---|---|---|---|---|---|\n";
  for (const auto& [route, offered] : offers_) {
    text << "| " << route << " | " << offered.offers_ << " | " << offered.relayed_ << " | "
         << offered.prompt_tokens_ << " | " << offered.missing_tokens_ << " | "
         << quantile(offered.waited_ms_, 0.5) << ", " << quantile(offered.waited_ms_, 0.99) << " | "
         << quantile(offered.took_ms_, 0.5) << ", " << quantile(offered.took_ms_, 0.99) << " |\n";
  }
  text << "\nSeconds with most losses: " << worst_seconds(by_second_)
       << ". Lines passed over: " << unreadable_ << ".\n";
  return text.str();
}

}  // namespace birchlever
