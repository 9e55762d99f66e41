#include "birchlever/http/connection_limit.h"

#include "birchlever/http/server_connection.h"

namespace birchlever {

auto connection_limit::add(const std::shared_ptr<server_connection>& connection) -> void {
  auto victim = open() >= most_ ? longest_idle() : nullptr;
  numbers_[connection] = ++numbers_given_;
  by_number_[numbers_given_] = connection;
  if (victim) {
    ++closed_;
    remove(victim);  // Its own coroutine ends a little later.
    victim->close();
  }
}

auto connection_limit::set_waiting(const std::shared_ptr<server_connection>& connection) -> void {
  auto found = numbers_.find(connection);
  if (found == numbers_.end()) {
    return;
  }
  by_number_.erase(found->second);
  found->second = ++numbers_given_;
  by_number_[numbers_given_] = connection;
}

auto connection_limit::remove(const std::shared_ptr<server_connection>& connection) -> void {
  auto found = numbers_.find(connection);
  if (found != numbers_.end()) {
    by_number_.erase(found->second);
    numbers_.erase(found);
  }
}

auto connection_limit::has_room() const -> bool {
  return open() < most_ || longest_idle() != nullptr;
}

auto connection_limit::longest_idle() const -> std::shared_ptr<server_connection> {
  for (const auto& [number, connection] : by_number_) {
    if (connection->idle()) {
      return connection;
    }
  }
  return nullptr;
}

}  // namespace birchlever
