#include "birchlever/coordination/lease_book.h"

#include <algorithm>
#include <array>

namespace birchlever {
namespace {

constexpr auto forget_interval = milliseconds{5000};

}  // namespace

auto name_of(lease_use use) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 4>{"unknown", "in_use", "transferred", "retired"};
  return names.at(static_cast<std::size_t>(use));
}

auto lease_book::forget_old(milliseconds now) -> void {
  if (now < forget_at_) {
    return;
  }
  forget_at_ = now + forget_interval;
  auto is_old = [now](const auto& entry) { return entry.second.keep_until_ <= now; };
  std::erase_if(own_, is_old);
  std::erase_if(witnessed_, is_old);
}

auto lease_book::begin_use(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool {
  forget_old(now);
  auto& record = own_[lease];
  if (record.use_ != lease_use::unknown) {
    return false;
  }
  record = {lease_use::in_use, {}, keep_until};
  return true;
}

auto lease_book::end_use(const std::string& lease) -> void {
  auto found = own_.find(lease);
  if (found != own_.end() && found->second.use_ == lease_use::in_use) {
    own_.erase(found);
  }
}

auto lease_book::transfer(const std::string& lease, const std::string& recipient, milliseconds keep_until,
                          milliseconds now) -> bool {
  forget_old(now);
  auto& record = own_[lease];
  if (record.use_ != lease_use::unknown) {
    return false;
  }
  record = {lease_use::transferred, recipient, keep_until};
  return true;
}

auto lease_book::retire(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool {
  forget_old(now);
  auto& record = own_[lease];
  if (record.use_ == lease_use::in_use || record.use_ == lease_use::transferred) {
    return false;
  }
  record = {lease_use::retired, {}, std::max(record.keep_until_, keep_until)};
  return true;
}

auto lease_book::abandon_use(const std::string& lease, milliseconds keep_until, milliseconds now) -> void {
  end_use(lease);
  retire(lease, keep_until, now);
}

auto lease_book::confirm_unused(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool {
  auto found = own_.find(lease);
  if (found != own_.end() && found->second.use_ == lease_use::transferred) {
    found->second.use_ = lease_use::unknown;
  }
  return retire(lease, keep_until, now);
}

auto lease_book::use_of(const std::string& lease) const -> lease_use {
  auto found = own_.find(lease);
  return found == own_.end() ? lease_use::unknown : found->second.use_;
}

auto lease_book::recipient_of(const std::string& lease) const -> std::string {
  auto found = own_.find(lease);
  return found == own_.end() ? std::string{} : found->second.recipient_;
}

auto lease_book::witness_use(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool {
  forget_old(now);
  auto& record = witnessed_[lease];
  record.keep_until_ = std::max(record.keep_until_, keep_until);
  return !record.revoked_;
}

auto lease_book::revoke(const std::string& lease, milliseconds keep_until, milliseconds now) -> bool {
  forget_old(now);
  auto [record, added] = witnessed_.try_emplace(lease);
  record->second.revoked_ = record->second.revoked_ || added;
  record->second.keep_until_ = std::max(record->second.keep_until_, keep_until);
  return record->second.revoked_;
}

}  // namespace birchlever
