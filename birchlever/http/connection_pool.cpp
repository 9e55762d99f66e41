#include "birchlever/http/connection_pool.h"

#include <algorithm>
#include <limits>

namespace birchlever {

connection_pool::connection_pool(event_loop& loop, const connection_pool_settings& settings)
    : loop_{&loop}, settings_{settings} {}

auto connection_pool::create(event_loop& loop, const connection_pool_settings& settings)
    -> std::shared_ptr<connection_pool> {
  return std::shared_ptr<connection_pool>{new connection_pool{loop, settings}};
}

auto connection_pool::take_idle(const asio::ip::tcp::endpoint& address, milliseconds most_idle)
    -> std::shared_ptr<outgoing_connection> {
  auto found = idle_.find(address);
  while (found != idle_.end() && !found->second.empty()) {
    auto candidate = std::move(found->second.back());
    found->second.pop_back();
    auto idle = clock_.now() - candidate.since_;
    auto kept = candidate.connection_->keep_alive() - settings_.keep_alive_margin_;
    if (idle <= std::min(kept, most_idle) && !candidate.connection_->spoiled()) {
      return std::move(candidate.connection_);
    }
    candidate.connection_->abort();
  }
  return nullptr;
}

auto connection_pool::has_idle(const asio::ip::tcp::endpoint& address, milliseconds most_idle) const -> bool {
  auto found = idle_.find(address);
  return found != idle_.end() && !found->second.empty() &&
         clock_.now() - found->second.back().since_ <= most_idle;
}

auto connection_pool::take(asio::ip::tcp::endpoint address, milliseconds most_idle, milliseconds time_left)
    -> task<exchanged<std::shared_ptr<outgoing_connection>>> {
  if (auto kept = take_idle(address, most_idle)) {
    co_return kept;
  }
  ++opened_;
  co_return co_await outgoing_connection::open(*loop_, address,
                                               std::min(settings_.connect_limit_, time_left));
}

auto connection_pool::give_back(const asio::ip::tcp::endpoint& address,
                                std::shared_ptr<outgoing_connection> connection) -> void {
  auto& kept = idle_[address];
  if (!connection->reusable() || kept.size() >= settings_.most_idle_) {
    connection->abort();
    return;
  }
  kept.push_back({std::move(connection), clock_.now()});
}

auto connection_pool::forget(const asio::ip::tcp::endpoint& address) -> std::size_t {
  return forget_unused_since(address, std::numeric_limits<milliseconds>::max());
}

auto connection_pool::forget_unused_since(const asio::ip::tcp::endpoint& address, milliseconds time)
    -> std::size_t {
  auto found = idle_.find(address);
  if (found == idle_.end()) {
    return 0;
  }
  auto& kept = found->second;
  auto first_used =
      std::find_if(kept.begin(), kept.end(), [&](const idle_connection& one) { return one.since_ > time; });
  auto closed = static_cast<std::size_t>(first_used - kept.begin());
  std::for_each(kept.begin(), first_used, [](const idle_connection& one) { one.connection_->abort(); });
  kept.erase(kept.begin(), first_used);
  return closed;
}

auto connection_pool::sweep() -> void {
  auto now = clock_.now();
  for (auto next = idle_.begin(); next != idle_.end();) {
    auto& kept = next->second;
    auto stale = [&](const idle_connection& one) {
      auto gone = now - one.since_ > one.connection_->keep_alive() - settings_.keep_alive_margin_ ||
                  one.connection_->spoiled();
      if (gone) {
        one.connection_->abort();
      }
      return gone;
    };
    kept.erase(std::remove_if(kept.begin(), kept.end(), stale), kept.end());
    next = kept.empty() ? idle_.erase(next) : std::next(next);
  }
}

}  // namespace birchlever
