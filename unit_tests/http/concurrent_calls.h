/// Fills a pool of connections in tests of code that blocks.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <vector>

namespace birchlever {

/// Holds calls until a number of them has arrived, so that none can use the connection of another.
class call_barrier {
 public:
  /// Lets calls pass once `count` have arrived in all.
  auto expect(int count) -> void {
    auto lock = std::lock_guard{mutex_};
    expected_ = count;
  }

  /// Counts a call and blocks it until the expected number has arrived.
  auto arrive_and_wait() -> void {
    auto lock = std::unique_lock{mutex_};
    ++arrived_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return arrived_ >= expected_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int expected_ = 0;
  int arrived_ = 0;
};

/// Makes `count` calls at the same time, each on a thread of its own. Returns true if all of them succeeded.
inline auto call_concurrently(int count, const std::function<bool()>& call) -> bool {
  auto pending = std::vector<std::future<bool>>{};
  for (auto started = 0; started < count; ++started) {
    pending.push_back(std::async(std::launch::async, call));
  }
  return std::all_of(pending.begin(), pending.end(), [](auto& answered) { return answered.get(); });
}

}  // namespace birchlever
