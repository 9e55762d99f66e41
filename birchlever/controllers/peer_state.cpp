#include "birchlever/controllers/peer_state.h"

#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

using json = nlohmann::json;

}  // namespace

auto encode(const peer_state& state) -> std::string {
  auto bytes = std::string{};
  auto silence = state.store_silence_ ? json(*state.store_silence_) : json(nullptr);
  auto news = json::array();
  for (const auto& one : state.news_) {
    news.push_back(json::array({one.id_, one.failed_, one.born_}));
  }
  auto followers = json::array();
  for (const auto& one : state.followers_) {
    followers.push_back(json::array({one.vm_, one.control_address_, one.cores_, one.age_}));
  }
  auto message = json{state.vm_,      silence, state.configuration_,    state.control_address_,
                      state.running_, news,    state.allowance_ranges_, state.follows_,
                      state.region_, state.cores_, followers};
  json::to_cbor(message, bytes);
  return bytes;
}

auto decode_peer_state(std::string_view bytes) -> result<peer_state> {
  try {
    auto message = json::from_cbor(bytes.begin(), bytes.end());
    auto state = peer_state{};
    message.at(0).get_to(state.vm_);
    if (!message.at(1).is_null()) {
      state.store_silence_ = message.at(1).get<milliseconds>();
    }
    message.at(2).get_to(state.configuration_);
    message.at(3).get_to(state.control_address_);
    message.at(4).get_to(state.running_);
    for (const auto& one : message.at(5)) {
      constexpr auto born_field = std::size_t{2};
      auto born = one.size() > born_field ? one.at(born_field).get<std::int64_t>() : 0;
      state.news_.push_back({one.at(0).get<std::string>(), one.at(1).get<bool>(), born});
    }
    constexpr auto ranges_field = std::size_t{6};
    if (message.size() > ranges_field) {  // Daemons of an earlier version hold none.
      message.at(ranges_field).get_to(state.allowance_ranges_);
    }
    constexpr auto follows_field = std::size_t{7};
    if (message.size() > follows_field) {
      message.at(follows_field).get_to(state.follows_);
    }
    constexpr auto region_field = std::size_t{8};
    if (message.size() > region_field) {
      message.at(region_field).get_to(state.region_);
    }
    constexpr auto cores_field = std::size_t{9};
    if (message.size() > cores_field) {
      message.at(cores_field).get_to(state.cores_);
    }
    constexpr auto followers_field = std::size_t{10};
    if (message.size() > followers_field) {
      for (const auto& one : message.at(followers_field)) {
        state.followers_.push_back({one.at(0), one.at(1), one.at(2), one.at(3)});
      }
    }
    return state;
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"a peer's message can't be read: "} + fault.what()};
  }
}

}  // namespace birchlever
