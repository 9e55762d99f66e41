#include "birchlever/accounts/account_usage.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include "birchlever/accounts/key_digest.h"

namespace birchlever {
namespace {

constexpr auto others_name = "(others)";

auto keys_line(const client_account& account) -> std::string {
  auto text = std::ostringstream{};
  text << "account_keys{account=\"" << account.name_ << "\",digests=\"";
  for (const auto& digest : account.key_digests_) {
    text << (&digest == &account.key_digests_.front() ? "" : " ") << abbreviated_digest(digest);
  }
  text << "\"} " << account.key_digests_.size() << '\n';
  return text.str();
}

}  // namespace

auto account_usage::record(const std::string& account, int status) -> void {
  auto& entry = accounts_[account];
  ++entry.requests_;
  ++entry.by_status_[status];
}

auto account_usage::add(counts& sum, const counts& added) -> void {
  sum.requests_ += added.requests_;
  for (const auto& [status, count] : added.by_status_) {
    sum.by_status_[status] += count;
  }
}

auto account_usage::to_prometheus(const account_registry* registry, std::size_t max_accounts) const
    -> std::string {
  auto order = std::vector<std::pair<std::string, counts>>{accounts_.begin(), accounts_.end()};
  std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
    return left.second.requests_ > right.second.requests_ ||
           (left.second.requests_ == right.second.requests_ && left.first < right.first);
  });
  auto others = counts{};
  for (auto index = max_accounts; index < order.size(); ++index) {
    add(others, order[index].second);
  }
  order.resize(std::min(order.size(), max_accounts));
  if (others.requests_ > 0) {
    order.emplace_back(others_name, std::move(others));
  }
  auto text = std::ostringstream{};
  for (const auto& [name, entry] : order) {
    for (const auto& [status, count] : entry.by_status_) {
      text << "account_requests_total{account=\"" << name << "\",status=\"" << status << "\"} " << count
           << '\n';
    }
    const auto* account = registry == nullptr ? nullptr : registry->find(name);
    text << (account == nullptr ? std::string{} : keys_line(*account));
  }
  return text.str();
}

}  // namespace birchlever
