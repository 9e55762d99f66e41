/// One upstream as its own entry in the platform's list describes it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "birchlever/core/clock.h"

namespace birchlever {

/// An entry. A server that starts again may keep its id; it then has a later `born_` and nothing of before.
struct upstream_entry {
  std::string id_;
  std::string service_;
  boost::asio::ip::tcp::endpoint address_;
  std::string data_hall_;
  std::int64_t slots_ = 1;      ///< Requests that run at once.
  bool leaving_ = false;        ///< Takes no new request.
  std::int64_t born_ = 0;       ///< Unix ms of its start; 0 where starts are told apart by ids alone.
  milliseconds cold_left_ = 0;  ///< ms for which it bears few requests, from the moment it was written.
  std::vector<std::string> models_;
};

/// All of an entry that decisions rest on, as a text: entries with the same text are alike.
[[nodiscard]] auto meaning_of(const upstream_entry& entry) -> std::string;

/// Names one start of a server: "id", or "id@born" where starts are told.
[[nodiscard]] auto incarnation_of(const upstream_entry& entry) -> std::string;

/// The id within such a name.
[[nodiscard]] auto id_of_incarnation(std::string_view incarnation) -> std::string;

}  // namespace birchlever
