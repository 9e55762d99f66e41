#include "birchlever/controllers/peer_feed.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "birchlever/controllers/peer_views.h"
#include "birchlever/core/bounded_json.h"
#include "birchlever/core/hashing.h"
#include "birchlever/http/http_call.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

using json = nlohmann::json;

// /changes/AFTER/WAIT. Response: {version, [[key, value, version, removed], ...]} as CBOR.
constexpr auto path = std::string_view{"/changes/"};
constexpr auto max_response_bytes = std::size_t{4U << 20U};
constexpr auto follower_key = std::string_view{"followers"};
constexpr auto max_wait = milliseconds{10000};  // Longer waits are rejected as malformed.

auto encode_page(std::int64_t version, const std::vector<stored_row>& rows) -> std::string {
  auto list = json::array();
  for (const auto& row : rows) {
    auto value = json::binary({row.value_.begin(), row.value_.end()});
    list.push_back(json::array({row.key_.key_, std::move(value), row.version_, row.removed_}));
  }
  auto bytes = std::string{};
  json::to_cbor(json::array({version, std::move(list)}), bytes);
  return bytes;
}

auto decode_page(std::string_view bytes) -> result<row_page> {
  auto parsed = parse_cbor(bytes);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  try {
    const auto& read = value(parsed);
    auto page = row_page{};
    read.at(0).get_to(page.version_);
    for (const auto& entry : read.at(1)) {
      auto row = stored_row{};
      entry.at(0).get_to(row.key_.key_);
      const auto& value = entry.at(1).get_binary();
      row.value_.assign(value.begin(), value.end());
      entry.at(2).get_to(row.version_);
      entry.at(3).get_to(row.removed_);
      page.rows_.push_back(std::move(row));
    }
    return page;
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"malformed changes from a peer: "} + fault.what()};
  }
}

}  // namespace

peer_feed::peer_feed(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
                     const peer_feed_settings& settings, change_log::comparison_key_function comparison_key,
                     change_log::pack_function pack)
    : loop_{&loop},
      rows_{std::move(rows)},
      views_{&views},
      settings_{settings},
      log_{std::move(comparison_key), std::move(pack)},
      changed_{loop},
      random_{static_cast<std::uint32_t>(hash_of(settings_.vm_))},
      connections_{connection_pool::create(loop, {})} {
  auto delays = std::uniform_int_distribution<milliseconds>{0, settings_.max_start_delay_};
  first_poll_at_ = clock_.now() + delays(random_);
}

auto peer_feed::create(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
                       const peer_feed_settings& settings, change_log::comparison_key_function comparison_key,
                       change_log::pack_function pack) -> std::shared_ptr<peer_feed> {
  return std::shared_ptr<peer_feed>{
      new peer_feed{loop, std::move(rows), views, settings, std::move(comparison_key), std::move(pack)}};
}

auto peer_feed::has_recent_store_contact() const -> bool {
  return last_store_response_at_ > 0 && clock_.now() - last_store_response_at_ <= settings_.max_view_age_;
}

auto peer_feed::can_serve() const -> bool {
  return has_recent_store_contact() && log_.version() > 0;
}

auto peer_feed::follows() const -> bool {
  return can_serve() && should_follow();
}

auto peer_feed::rank_of(const std::string& vm, double cores) const -> std::pair<double, std::uint64_t> {
  return {cores, rendezvous_weight(vm, follower_key)};
}

auto peer_feed::reported_followers() const -> std::vector<reported_follower> {
  auto known = views_->followers_within(settings_.follower_timeout_);
  auto by_rank = [this](const reported_follower& left, const reported_follower& right) {
    return rank_of(left.vm_, left.cores_) > rank_of(right.vm_, right.cores_);
  };
  std::sort(known.begin(), known.end(), by_rank);
  known.resize(std::min(known.size(), static_cast<std::size_t>(settings_.followers_)));
  return known;
}

auto peer_feed::should_follow() const -> bool {
  auto own = rank_of(settings_.vm_, settings_.cores_);
  auto before = 0;
  for (const auto& other : views_->followers_within(settings_.follower_timeout_)) {
    before += rank_of(other.vm_, other.cores_) > own ? 1 : 0;
  }
  return before < settings_.followers_;
}

auto peer_feed::choose_peer() -> std::optional<std::pair<std::string, std::string>> {
  auto now = clock_.now();
  auto usable = [&](const std::string& vm) {
    auto failed = avoided_.find(vm);
    return failed == avoided_.end() || failed->second <= now;
  };
  if (!source_.empty() && usable(source_)) {
    return std::pair{source_, source_address_};
  }
  auto best = std::optional<std::pair<std::string, std::string>>{};
  auto highest = std::uint64_t{0};
  for (auto& other : views_->followers_within(settings_.follower_timeout_)) {
    auto weight = rendezvous_weight(other.vm_, settings_.vm_);  // Spreads daemons evenly over the followers.
    if (usable(other.vm_) && weight >= highest) {
      highest = weight;
      best = {other.vm_, other.control_address_};
    }
  }
  return best;
}

auto peer_feed::changes(std::string table, std::int64_t after) -> task<result<row_page>> {
  auto self = shared_from_this();
  while (clock_.now() < first_poll_at_ && views_->followers_within(settings_.follower_timeout_).empty()) {
    co_await pause_for(*loop_, settings_.peer_retry_interval_);
  }
  while (!should_follow()) {
    auto page = co_await poll_peers(after);
    if (page) {
      co_return std::move(*page);
    }
    if (clock_.now() >= next_store_poll_at_) {
      break;
    }
    co_await pause_for(*loop_, settings_.peer_retry_interval_);
  }
  record_source({}, {});
  std::uniform_int_distribution<milliseconds> intervals{settings_.fallback_poll_interval_ / 2,
                                                        settings_.fallback_poll_interval_};
  next_store_poll_at_ = clock_.now() + intervals(random_);
  co_return co_await poll_store(std::move(table), after);
}

auto peer_feed::poll_peers(std::int64_t after) -> task<std::optional<row_page>> {
  for (auto attempt = 0; attempt < settings_.max_peer_attempts_; ++attempt) {
    auto peer = choose_peer();
    if (!peer) {
      break;
    }
    record_source(peer->first, peer->second);
    auto started_at = clock_.now();
    auto page = co_await poll_peer(peer->second, after);
    if (ok(page)) {
      co_return std::move(value(page));
    }
    log_event(log_level::info, "follower_abandoned",
              {{"peer", peer->first}, {"version", after}, {"reason", failure(page).detail_}});
    avoided_[peer->first] = clock_.now() + settings_.peer_backoff_;
    if (clock_.now() - started_at > settings_.response_grace_) {
      break;  // The peer timed out; a second timeout would double the time without updates.
    }
  }
  co_return std::nullopt;
}

auto peer_feed::record_source(const std::string& peer, const std::string& address) -> void {
  source_address_ = address;
  if (peer != source_) {
    log_event(log_level::info, "upstream_feed_source_changed", {{"peer", peer.empty() ? "the store" : peer}});
    source_ = peer;
  }
}

auto peer_feed::finish_scan(std::int64_t version) -> void {
  log_.finish_scan(version);
  last_store_response_at_ = clock_.now();
}

auto peer_feed::poll_store(std::string table, std::int64_t after) -> task<result<row_page>> {
  if (busy_) {
    co_await pause_for(*loop_, settings_.busy_poll_delay_);
  }
  auto page = co_await rows_->changes(std::move(table), after, settings_.store_poll_wait_);
  if (!ok(page)) {
    co_return page;
  }
  auto row_count = value(page).rows_.size();
  busy_ = row_count >= settings_.busy_rows_ && row_count < settings_.backlog_rows_;
  last_store_response_at_ = clock_.now();
  if (after <= log_.version()) {
    auto before = log_.last_change();
    value(page).rows_ = log_.apply(value(page).rows_, std::max(log_.version(), value(page).version_));
    if (log_.last_change() != before) {
      changed_.notify();
    }
  }
  co_return page;
}

auto peer_feed::poll_peer(std::string address, std::int64_t after) -> task<result<row_page>> {
  auto parsed = parse_address(address);
  if (!ok(parsed)) {
    co_return failure(parsed);
  }
  auto target = std::string{path} + std::to_string(after) + "/" + std::to_string(settings_.poll_wait_);
  auto request = std::make_shared<http_request>(http::verb::get, target, 11);
  request->set(http::field::host, address);
  auto response = co_await call_http(*connections_, value(parsed), std::move(request),
                                     settings_.poll_wait_ + settings_.response_grace_, max_response_bytes);
  if (const auto* fault = std::get_if<exchange_fault>(&response)) {
    co_return error{error_code::store_unknown, std::string{name_of(*fault)}};
  }
  const auto& received = std::get<whole_answer>(response);
  if (received.status_ != static_cast<unsigned>(http::status::ok)) {
    co_return error{error_code::store_unavailable,
                    "follower responded with status " + std::to_string(received.status_)};
  }
  auto page = decode_page(received.body_);
  if (ok(page)) {
    log_.apply(value(page).rows_, value(page).version_);
  }
  co_return page;
}

auto peer_feed::is_request(const http_request& request) -> bool {
  return request.target().starts_with(to_beast(path));
}

auto peer_feed::answer(http_request request) -> task<http_response> {
  auto self = shared_from_this();
  auto text = std::istringstream{std::string{request.target()}.substr(path.size())};
  auto after = std::int64_t{-1};
  auto wait = milliseconds{-1};
  auto separator = char{};
  text >> after >> separator >> wait;
  if (!text || after < 0 || wait < 0 || wait > max_wait) {
    co_return http_response{http::status::bad_request, 11};
  }
  auto deadline = clock_.now() + wait;
  // The requester may be ahead: it polled the store itself, and this daemon's next poll is in flight.
  auto nothing_new = [&] { return log_.version() < after || log_.last_change() <= after; };
  while (can_serve() && nothing_new() && clock_.now() < deadline) {
    co_await changed_.wait_for(deadline - clock_.now());
  }
  if (!can_serve() || log_.version() < after) {
    co_return http_response{http::status::service_unavailable, 11};
  }
  auto page = page_after(after);
  if (!page) {
    co_return http_response{http::status::gone, 11};
  }
  auto answer = http_response{http::status::ok, 11};
  answer.set(http::field::content_type, "application/cbor");
  answer.body() = std::move(*page);
  co_return answer;
}

auto peer_feed::page_after(std::int64_t after) -> std::optional<std::string> {
  if (last_page_.after_ == after && last_page_.version_ == log_.version()) {
    return last_page_.bytes_;
  }
  auto rows = log_.since(after);
  if (!rows) {
    return std::nullopt;
  }
  last_page_ = {after, log_.version(), encode_page(log_.version(), *rows)};
  return last_page_.bytes_;
}

}  // namespace birchlever
