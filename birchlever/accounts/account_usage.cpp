#include "birchlever/accounts/account_usage.h"

#include <algorithm>
#include <sstream>
#include <vector>

#include "birchlever/accounts/key_digest.h"

namespace birchlever {
namespace {

constexpr auto rest_name = "(others)";

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
  auto& known = accounts_[account];
  ++known.asked_;
  ++known.by_status_[status];
}

auto account_usage::add(counts& sum, const counts& one) -> void {
  sum.asked_ += one.asked_;
  for (const auto& [status, count] : one.by_status_) {
    sum.by_status_[status] += count;
  }
}

auto account_usage::to_prometheus(const account_registry* book, std::size_t most) const -> std::string {
  auto order = std::vector<std::pair<std::string, counts>>{accounts_.begin(), accounts_.end()};
  std::sort(order.begin(), order.end(), [](const auto& one, const auto& other) {
    return one.second.asked_ > other.second.asked_ ||
           (one.second.asked_ == other.second.asked_ && one.first < other.first);
  });
  auto rest = counts{};
  for (auto index = most; index < order.size(); ++index) {
    add(rest, order[index].second);
  }
  order.resize(std::min(order.size(), most));
  if (rest.asked_ > 0) {
    order.emplace_back(rest_name, std::move(rest));
  }
  auto text = std::ostringstream{};
  for (const auto& [name, known] : order) {
    for (const auto& [status, count] : known.by_status_) {
      text << "account_requests_total{account=\"" << name << "\",status=\"" << status << "\"} " << count
           << '\n';
    }
    const auto* account = book == nullptr ? nullptr : book->find(name);
    text << (account == nullptr ? std::string{} : keys_line(*account));
  }
  return text.str();
}

}  // namespace birchlever
