#include "birchlever/storage/probe_targets.h"

#include <algorithm>
#include <vector>

namespace birchlever {
namespace {

constexpr auto max_answered = std::size_t{8};

// Partitions without rows, read when few others are known or all of them failed. Several, since the store may
// assign one of them to a part that fails.
constexpr auto empty_partitions = std::uint64_t{4};

}  // namespace

auto probe_targets::record_response(const std::string& partition) -> void {
  if (!answered_.empty() && answered_.front() == partition) {
    return;
  }
  answered_.erase(std::remove(answered_.begin(), answered_.end(), partition), answered_.end());
  answered_.push_front(partition);
  if (answered_.size() > max_answered) {
    answered_.pop_back();
  }
}

auto probe_targets::select(const failing_partitions& failing, std::uint64_t number) const -> std::string {
  auto candidates = std::vector<std::string>{};
  auto answers = [&](const std::string& partition) { return !failing.contains(partition); };
  std::copy_if(answered_.begin(), answered_.end(), std::back_inserter(candidates), answers);
  for (auto index = std::uint64_t{0}; index < empty_partitions; ++index) {
    candidates.push_back("probe-" + std::to_string(index));
  }
  return candidates.at(number % candidates.size());
}

}  // namespace birchlever
