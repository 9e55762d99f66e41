/// Waiting on a condition.
#pragma once

#include <chrono>
#include <thread>

namespace birchlever::scenarios {

template <class Condition>
auto eventually(int milliseconds, Condition condition) -> bool {
  constexpr auto gap = std::chrono::milliseconds{20};
  auto give_up_at = std::chrono::steady_clock::now() + std::chrono::milliseconds{milliseconds};
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= give_up_at) {
      return false;
    }
    std::this_thread::sleep_for(gap);
  }
  return true;
}

}  // namespace birchlever::scenarios
