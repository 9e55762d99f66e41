#include "birchlever/coordination/crash_history.h"

#include <algorithm>
#include <array>

namespace birchlever {
namespace {

/// Time within which a daemon notices that a caller left, who may be at another daemon by then.
constexpr auto notice_time = milliseconds{5};

}  // namespace

auto name_of(send_state state) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 4>{"open", "crashed", "settled", "served"};
  return names.at(static_cast<std::size_t>(state));
}

auto crash_history::work_of(const std::string& fingerprint, milliseconds now) -> known_work& {
  auto found = works_.find(fingerprint);
  if (found != works_.end()) {
    return found->second;
  }
  if (works_.size() >= settings_.max_works_) {
    evict_one(now);
  }
  auto& created = works_[fingerprint];
  created.order_ = order_.front().insert(order_.front().end(), fingerprint);
  return created;
}

auto crash_history::evict_one(milliseconds now) -> void {
  const auto& candidates = order_.front().empty() ? order_.back() : order_.front();
  forget(std::string{candidates.front()});
  evicted_at_ = now;
}

auto crash_history::update_order(known_work& work) -> void {
  auto rank = std::size_t{work.sends_.size() > 1 ? 1U : 0U};
  order_.at(rank).splice(order_.at(rank).end(), order_.at(work.rank_), work.order_);
  work.rank_ = rank;
}

auto crash_history::forget(const std::string& fingerprint) -> void {
  auto found = works_.find(fingerprint);
  if (found == works_.end()) {
    return;
  }
  for (const auto& [upstream, send] : found->second.sends_) {
    open_.erase({upstream, fingerprint});
  }
  order_.at(found->second.rank_).erase(found->second.order_);
  works_.erase(found);
}

auto crash_history::record(const send_record& record, milliseconds now) -> bool {
  if (record.state_ == send_state::served) {
    auto removed = is_content(record.fingerprint_) ? clear(record.fingerprint_, now)
                                                   : mark_served(record.fingerprint_, now);
    return !removed.empty();
  }
  if (record.state_ == send_state::settled) {
    return erase({record.fingerprint_, record.upstream_, send_state::open});
  }
  auto& work = work_of(record.fingerprint_, now);
  auto [entry, added] = work.sends_.try_emplace(record.upstream_);
  update_order(work);
  auto& send = entry->second;
  auto changed = added || (send.state_ == send_state::open && record.state_ == send_state::crashed);
  if (!changed) {
    return false;
  }
  // A later send to the same upstream is no further round.
  auto round = added ? record.round_ : send.round_;
  auto counts_since = added ? now - record.age_ : send.counts_since_;
  send = {record.state_, round, now, counts_since};
  work.changed_at_ = now;
  if (record.state_ == send_state::open) {
    open_.insert({record.upstream_, record.fingerprint_});
  } else {
    work.served_at_.reset();
    open_.erase({record.upstream_, record.fingerprint_});
  }
  return true;
}

auto crash_history::erase(const send_record& record) -> bool {
  auto found = works_.find(record.fingerprint_);
  if (found == works_.end()) {
    return false;
  }
  auto& sends = found->second.sends_;
  auto send = sends.find(record.upstream_);
  if (send == sends.end() || send->second.state_ != record.state_) {
    return false;
  }
  open_.erase({record.upstream_, record.fingerprint_});
  sends.erase(send);
  if (sends.empty()) {
    forget(record.fingerprint_);
  } else {
    update_order(found->second);
  }
  return true;
}

auto crash_history::mark_served(const std::string& fingerprint, milliseconds now)
    -> std::vector<send_record> {
  auto ended = std::vector<send_record>{};
  auto found = works_.find(fingerprint);
  if (found == works_.end()) {
    return ended;
  }
  found->second.served_at_ = now;
  for (const auto& [upstream, send] : found->second.sends_) {
    if (send.state_ == send_state::open) {
      ended.push_back({fingerprint, upstream, send.state_});
    }
  }
  for (const auto& record : ended) {
    erase(record);
  }
  return ended;
}

auto crash_history::clear(const std::string& fingerprint, milliseconds now) -> std::vector<send_record> {
  auto cleared = std::vector<send_record>{};
  auto found = works_.find(fingerprint);
  if (found != works_.end()) {
    for (const auto& [upstream, send] : found->second.sends_) {
      cleared.push_back({fingerprint, upstream, send.state_});
    }
    forget(fingerprint);
    served_content_[fingerprint] = now;
  }
  return cleared;
}

auto crash_history::counts(const std::string& fingerprint, const std::string& upstream) const -> bool {
  auto found = works_.find(fingerprint);
  return found != works_.end() && found->second.sends_.count(upstream) != 0;
}

auto crash_history::served_since(const std::string& content, milliseconds time) const -> bool {
  auto found = served_content_.find(content);
  return found != served_content_.end() && found->second >= time;
}

auto crash_history::crashes(const std::string& fingerprint) const -> int {
  auto found = works_.find(fingerprint);
  if (found == works_.end()) {
    return 0;
  }
  const auto& sends = found->second.sends_;
  if (!is_content(fingerprint)) {
    return static_cast<int>(sends.size());
  }
  auto rounds = std::set<int>{};
  for (const auto& [upstream, send] : sends) {
    rounds.insert(send.round_);
  }
  return static_cast<int>(rounds.size());
}

auto crash_history::confirmed_crashes(const std::string& fingerprint) const -> int {
  auto crashes = crash_records(fingerprint);
  if (!is_content(fingerprint)) {
    return static_cast<int>(crashes.size());
  }
  auto rounds = std::set<int>{};
  for (const auto& crash : crashes) {
    rounds.insert(crash.round_);
  }
  return static_cast<int>(rounds.size());
}

auto crash_history::round_of_send(const std::string& content, milliseconds sent_at) const -> int {
  auto last = 0;
  auto found = works_.find(content);
  if (found != works_.end()) {
    for (const auto& [upstream, send] : found->second.sends_) {
      auto before = send.counts_since_ <= sent_at + notice_time;
      last = before ? std::max(last, send.round_) : last;
    }
  }
  return last + 1;
}

auto crash_history::crash_records(const std::string& fingerprint) const -> std::vector<send_record> {
  auto records = std::vector<send_record>{};
  auto found = works_.find(fingerprint);
  if (found == works_.end()) {
    return records;
  }
  for (const auto& [upstream, send] : found->second.sends_) {
    if (send.state_ == send_state::crashed) {
      records.push_back({fingerprint, upstream, send.state_, send.round_});
    }
  }
  return records;
}

auto crash_history::upstreams_at_risk(const std::string& fingerprint, int min_crashes) const
    -> std::set<std::string> {
  auto at_risk = std::set<std::string>{};
  for (const auto& [upstream, work] : open_) {
    if (work != fingerprint && crashes(work) >= min_crashes) {
      at_risk.insert(upstream);
    }
  }
  return at_risk;
}

auto crash_history::lifetime_of(const send_record& record) const -> milliseconds {
  if (record.state_ == send_state::open) {
    return settings_.max_open_;
  }
  return is_content(record.fingerprint_) ? settings_.max_content_age_ : settings_.max_age_;
}

auto crash_history::expired(const send_record& record, const known_send& send, const known_work& work,
                            milliseconds now) const -> bool {
  if (send.state_ == send_state::open) {
    return now - send.changed_at_ > lifetime_of(record);
  }
  auto served_long_ago = work.served_at_ && now - *work.served_at_ > settings_.max_served_age_;
  return served_long_ago || now - work.changed_at_ > lifetime_of(record);
}

auto crash_history::expire(milliseconds now) -> std::vector<send_record> {
  auto removed = std::vector<send_record>{};
  for (const auto& [fingerprint, work] : works_) {
    for (const auto& [upstream, send] : work.sends_) {
      auto record = send_record{fingerprint, upstream, send.state_};
      if (expired(record, send, work, now)) {
        removed.push_back(std::move(record));
      }
    }
  }
  for (const auto& record : removed) {
    erase(record);
  }
  for (auto next = served_content_.begin(); next != served_content_.end();) {
    auto old = now - next->second > settings_.max_content_age_;
    next = old ? served_content_.erase(next) : std::next(next);
  }
  return removed;
}

auto crash_history::records_known_for(milliseconds min_age, milliseconds now) const
    -> std::vector<send_record> {
  auto known = std::vector<send_record>{};
  for (const auto& [fingerprint, work] : works_) {
    for (const auto& [upstream, send] : work.sends_) {
      if (now - send.changed_at_ >= min_age) {
        known.push_back({fingerprint, upstream, send.state_, send.round_, now - send.counts_since_});
      }
    }
  }
  return known;
}

}  // namespace birchlever
