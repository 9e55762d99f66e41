/// One limit for the connections that a process accepts. Without it, callers that hold idle connections take
/// all descriptors, and the process reaches neither the store nor an upstream.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>

namespace birchlever {

class server_connection;

/// Closes the connections that have been idle for longest in favour of new ones. For one thread.
class connection_limit {
 public:
  static constexpr auto unlimited = std::numeric_limits<std::size_t>::max();

  /// `most` is the number of connections that may be open.
  explicit connection_limit(std::size_t most = unlimited) : most_{most} {}

  /// Counts an accepted connection. Closes the one that has been idle for longest if there are too many.
  auto add(const std::shared_ptr<server_connection>& connection) -> void;

  /// Says that a connection begins to wait for its next request.
  auto set_waiting(const std::shared_ptr<server_connection>& connection) -> void;

  auto remove(const std::shared_ptr<server_connection>& connection) -> void;

  /// False while as many connections as allowed are open and none of them is idle.
  [[nodiscard]] auto has_room() const -> bool;

  [[nodiscard]] auto open() const -> std::size_t { return numbers_.size(); }
  [[nodiscard]] auto most() const -> std::size_t { return most_; }

  /// Idle connections closed so far.
  [[nodiscard]] auto closed() const -> std::int64_t { return closed_; }

 private:
  [[nodiscard]] auto longest_idle() const -> std::shared_ptr<server_connection>;

  std::size_t most_;
  std::int64_t closed_ = 0;
  std::uint64_t numbers_given_ = 0;
  std::map<std::uint64_t, std::shared_ptr<server_connection>>
      by_number_;  ///< In the order they began to wait.
  std::map<std::shared_ptr<server_connection>, std::uint64_t> numbers_;
};

}  // namespace birchlever
