#include "birchlever/controllers/peer_state.h"

#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

using json = nlohmann::json;

/// Places of fields that daemons of earlier versions do not send.
enum class added_field : std::size_t { allowance_ranges = 6, follows, region, cores, followers };

/// Reads such a field where it is there.
template <class Field>
auto read_added(const json& message, added_field field, Field& into) -> void {
  auto place = static_cast<std::size_t>(field);
  if (message.size() > place) {
    message.at(place).get_to(into);
  }
}

}  // namespace

auto encode(const peer_state& state) -> std::string {
  auto bytes = std::string{};
  auto silence = state.store_response_age_ ? json(*state.store_response_age_) : json(nullptr);
  auto news = json::array();
  for (const auto& one : state.news_) {
    news.push_back(json::array({one.id_, one.failed_, one.born_}));
  }
  auto followers = json::array();
  for (const auto& one : state.followers_) {
    followers.push_back(json::array({one.vm_, one.control_address_, one.cores_, one.age_}));
  }
  auto message = json{state.vm_,
                      silence,
                      state.configuration_,
                      state.control_address_,
                      state.running_,
                      news,
                      state.allowance_ranges_,
                      state.follows_,
                      state.region_,
                      state.cores_,
                      followers};
  json::to_cbor(message, bytes);
  return bytes;
}

auto decode_peer_state(std::string_view bytes) -> result<peer_state> {
  try {
    auto message = json::from_cbor(bytes.begin(), bytes.end());
    auto state = peer_state{};
    message.at(0).get_to(state.vm_);
    if (!message.at(1).is_null()) {
      state.store_response_age_ = message.at(1).get<milliseconds>();
    }
    message.at(2).get_to(state.configuration_);
    message.at(3).get_to(state.control_address_);
    message.at(4).get_to(state.running_);
    for (const auto& one : message.at(5)) {
      constexpr auto born_field = std::size_t{2};
      auto born = one.size() > born_field ? one.at(born_field).get<std::int64_t>() : 0;
      state.news_.push_back({one.at(0).get<std::string>(), one.at(1).get<bool>(), born});
    }
    read_added(message, added_field::allowance_ranges, state.allowance_ranges_);
    read_added(message, added_field::follows, state.follows_);
    read_added(message, added_field::region, state.region_);
    read_added(message, added_field::cores, state.cores_);
    auto followers = json::array();
    read_added(message, added_field::followers, followers);
    for (const auto& one : followers) {
      state.followers_.push_back({one.at(0), one.at(1), one.at(2), one.at(3)});
    }
    return state;
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"a peer's message can't be read: "} + fault.what()};
  }
}

}  // namespace birchlever
