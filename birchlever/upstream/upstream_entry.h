/// Entry of an upstream in the platform's list.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever {

/// Describes one incarnation of a server. A restarted server may keep its id; its `born_` is then later.
struct upstream_entry {
  std::string id_;
  std::string service_;
  boost::asio::ip::tcp::endpoint address_;
  std::string data_hall_;
  std::int64_t slots_ = 1;      ///< Maximum number of concurrent requests.
  bool leaving_ = false;        ///< Accepts no new requests.
  std::int64_t born_ = 0;       ///< Start time, Unix ms; 0 if each start has its own id.
  milliseconds cold_left_ = 0;  ///< Remaining cold start time in ms when the entry was written.
  std::vector<std::string> models_;
};

/// Returns a text of all fields relevant to decisions. Entries with equal texts are interchangeable.
[[nodiscard]] auto comparison_key(const upstream_entry& entry) -> std::string;

/// Returns the identifier of an incarnation: "id@born", or "id" if `born_` is 0.
[[nodiscard]] auto incarnation_of(const upstream_entry& entry) -> std::string;

/// Returns the server id contained in an incarnation identifier.
[[nodiscard]] auto id_of_incarnation(std::string_view incarnation) -> std::string;

}  // namespace birchlever
