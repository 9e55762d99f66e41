#include "birchlever/coordination/spent_programs.h"

#include <algorithm>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

constexpr auto max_outgoing = std::size_t{64};  // All can be reported in the messages of 1.5 s.

/// Returns true if the spent tokens leave less than one turn's limit.
auto leaves_too_little(std::int64_t tokens, std::int64_t budget, std::int64_t max_tokens) -> bool {
  return tokens > budget - max_tokens;
}

}  // namespace

auto spent_programs::hash_of_program(const std::string& program) -> std::uint64_t {
  return hash_of(program);
}

auto spent_programs::remember(std::uint64_t hash) -> remembered& {
  auto found = programs_.find(hash);
  if (found != programs_.end()) {
    order_.splice(order_.end(), order_, found->second.order_);
    return found->second;
  }
  if (!order_.empty() && programs_.size() >= settings_.max_programs_) {
    programs_.erase(order_.front());
    order_.pop_front();
  }
  auto& created = programs_[hash];
  created.order_ = order_.insert(order_.end(), hash);
  return created;
}

auto spent_programs::check(const std::string& program, std::int64_t budget, std::int64_t max_tokens,
                           milliseconds now) -> spent_check {
  auto found = programs_.find(hash_of_program(program));
  if (found == programs_.end()) {
    return {};
  }
  auto& known = found->second;
  auto confirmed =
      known.program_ == program && leaves_too_little(known.confirmed_tokens_, budget, max_tokens);
  auto age = now - known.confirmed_at_;
  if (confirmed) {
    order_.splice(order_.end(), order_, known.order_);
    auto knowledge =
        age <= settings_.max_confirmed_age_ ? spent_knowledge::confirmed : spent_knowledge::unconfirmed;
    return {knowledge, known.confirmed_tokens_, age};
  }
  if (!known.refuted_ && leaves_too_little(known.reported_tokens_, budget, max_tokens)) {
    return {spent_knowledge::unconfirmed, known.reported_tokens_, now - known.reported_at_};
  }
  return {};
}

auto spent_programs::confirm(const std::string& program, std::int64_t tokens, milliseconds requested_at,
                             milliseconds now) -> void {
  auto hash = hash_of_program(program);
  auto& known = remember(hash);
  if (known.program_ != program) {
    known.program_ = program;
    known.confirmed_tokens_ = 0;
    known.confirmed_at_ = 0;
  }
  // The store may have removed the program since an old confirmation, after which its name can be reused.
  auto expired = requested_at - known.confirmed_at_ > settings_.max_confirmed_age_;
  known.confirmed_tokens_ = expired ? 0 : known.confirmed_tokens_;
  auto increased = tokens > known.confirmed_tokens_;
  // A response that arrives late may show an older state; the higher count is the newer one.
  known.confirmed_tokens_ = std::max(known.confirmed_tokens_, tokens);
  known.confirmed_at_ = std::max(known.confirmed_at_, requested_at);
  if (increased) {
    report_to_peers({hash, tokens}, now);
  }
}

auto spent_programs::refute(const std::string& program, milliseconds now) -> void {
  auto& known = remember(hash_of_program(program));
  known.refuted_ = true;
  known.reported_at_ = now;
  if (known.program_ == program) {
    known.program_.clear();
    known.confirmed_tokens_ = 0;
  }
}

auto spent_programs::record_report(const spent_report& report, milliseconds now) -> void {
  auto& known = remember(report.program_);
  known.reported_tokens_ = std::max(known.reported_tokens_, report.tokens_);
  known.reported_at_ = now;
}

auto spent_programs::report_to_peers(const spent_report& report, milliseconds now) -> void {
  auto same = [&](const outgoing_report& other) { return other.row_.program_ == report.program_; };
  auto expired = [&](const outgoing_report& other) { return other.until_ <= now; };
  outgoing_.erase(std::remove_if(outgoing_.begin(), outgoing_.end(),
                                 [&](const auto& other) { return same(other) || expired(other); }),
                  outgoing_.end());
  if (outgoing_.size() >= max_outgoing) {
    outgoing_.erase(outgoing_.begin());
  }
  outgoing_.push_back({report, now + settings_.report_duration_});
}

auto spent_programs::next_reports(milliseconds now) -> std::vector<spent_report> {
  auto expired = [&](const outgoing_report& report) { return report.until_ <= now; };
  outgoing_.erase(std::remove_if(outgoing_.begin(), outgoing_.end(), expired), outgoing_.end());
  std::stable_sort(outgoing_.begin(), outgoing_.end(),
                   [](const auto& left, const auto& right) { return left.sent_ < right.sent_; });
  auto rows = std::vector<spent_report>{};
  for (auto& report : outgoing_) {
    if (rows.size() == settings_.max_reported_) {
      break;
    }
    ++report.sent_;
    rows.push_back(report.row_);
  }
  return rows;
}

}  // namespace birchlever
