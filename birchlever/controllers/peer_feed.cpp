#include "birchlever/controllers/peer_feed.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

#include "birchlever/controllers/peer_views.h"
#include "birchlever/core/hashing.h"
#include "birchlever/http/http_call.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

using json = nlohmann::json;

// /changes/AFTER/WAIT. Answered with {version, [[key, value, version, removed], ...]} as CBOR.
constexpr auto path = std::string_view{"/changes/"};
constexpr auto most_answer = std::size_t{4U << 20U};  // Some thousand rows of some hundred bytes.
constexpr auto subject = std::string_view{"followers"};
constexpr auto most_wait = milliseconds{10000};  // A peer that asks for longer errs.

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
  try {
    auto read = json::from_cbor(bytes.begin(), bytes.end());
    auto page = row_page{};
    read.at(0).get_to(page.version_);
    for (const auto& one : read.at(1)) {
      auto row = stored_row{};
      one.at(0).get_to(row.key_.key_);
      const auto& value = one.at(1).get_binary();
      row.value_.assign(value.begin(), value.end());
      one.at(2).get_to(row.version_);
      one.at(3).get_to(row.removed_);
      page.rows_.push_back(std::move(row));
    }
    return page;
  } catch (const json::exception& fault) {
    return error{error_code::malformed_json, std::string{"a peer's changes can't be read: "} + fault.what()};
  }
}

}  // namespace

peer_feed::peer_feed(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
                     const peer_feed_settings& settings, change_log::meaning_function meaning,
                     change_log::pack_function pack)
    : loop_{&loop},
      rows_{std::move(rows)},
      views_{&views},
      settings_{settings},
      log_{std::move(meaning), std::move(pack)},
      changed_{loop},
      random_{static_cast<std::uint32_t>(hash_of(settings_.vm_))},
      connections_{connection_pool::create(loop, {})} {
  auto delays = std::uniform_int_distribution<milliseconds>{0, settings_.start_delay_};
  first_look_at_ = clock_.now() + delays(random_);
}

auto peer_feed::create(event_loop& loop, std::shared_ptr<row_store_interface> rows, const peer_views& views,
                       const peer_feed_settings& settings, change_log::meaning_function meaning,
                       change_log::pack_function pack) -> std::shared_ptr<peer_feed> {
  return std::shared_ptr<peer_feed>{
      new peer_feed{loop, std::move(rows), views, settings, std::move(meaning), std::move(pack)}};
}

auto peer_feed::current() const -> bool {
  return store_answered_at_ > 0 && clock_.now() - store_answered_at_ <= settings_.oldest_;
}

auto peer_feed::may_answer() const -> bool {
  return current() && log_.version() > 0;
}

auto peer_feed::follows() const -> bool {
  return may_answer() && must_follow();
}

auto peer_feed::rank_of(const std::string& vm, double cores) const -> std::pair<double, std::uint64_t> {
  return {cores, rendezvous_weight(vm, subject)};
}

auto peer_feed::reported_followers() const -> std::vector<told_follower> {
  auto known = views_->followers_within(settings_.remembered_);
  auto first = [this](const told_follower& left, const told_follower& right) {
    return rank_of(left.vm_, left.cores_) > rank_of(right.vm_, right.cores_);
  };
  std::sort(known.begin(), known.end(), first);
  known.resize(std::min(known.size(), static_cast<std::size_t>(settings_.followers_)));
  return known;
}

auto peer_feed::must_follow() const -> bool {
  auto own = rank_of(settings_.vm_, settings_.cores_);
  auto before = 0;
  for (const auto& other : views_->followers_within(settings_.remembered_)) {
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
  for (auto& other : views_->followers_within(settings_.remembered_)) {
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
  while (clock_.now() < first_look_at_ && views_->followers_within(settings_.remembered_).empty()) {
    co_await pause_for(*loop_, settings_.peers_gap_);
  }
  while (!must_follow()) {
    auto told = co_await look_at_peers(after);
    if (told) {
      co_return std::move(*told);
    }
    if (clock_.now() >= store_due_) {
      break;
    }
    co_await pause_for(*loop_, settings_.peers_gap_);
  }
  note_source({}, {});
  std::uniform_int_distribution<milliseconds> gaps{settings_.store_gap_ / 2, settings_.store_gap_};
  store_due_ = clock_.now() + gaps(random_);
  co_return co_await look_at_store(std::move(table), after);
}

auto peer_feed::look_at_peers(std::int64_t after) -> task<std::optional<row_page>> {
  for (auto tries = 0; tries < settings_.peer_tries_; ++tries) {
    auto peer = choose_peer();
    if (!peer) {
      break;
    }
    note_source(peer->first, peer->second);
    auto began = clock_.now();
    auto told = co_await look_at_peer(peer->second, after);
    if (ok(told)) {
      co_return std::move(value(told));
    }
    log_event(log_level::info, "follower_left",
              {{"peer", peer->first}, {"version", after}, {"reason", failure(told).detail_}});
    avoided_[peer->first] = clock_.now() + settings_.avoid_;
    if (clock_.now() - began > settings_.grace_) {
      break;  // It was silent; another silent one would double the time without news.
    }
  }
  co_return std::nullopt;
}

auto peer_feed::note_source(const std::string& peer, const std::string& address) -> void {
  source_address_ = address;
  if (peer != source_) {
    log_event(log_level::info, "upstreams_followed_through", {{"peer", peer.empty() ? "the store" : peer}});
    source_ = peer;
  }
}

auto peer_feed::end_scan(std::int64_t version) -> void {
  log_.end(version);
  store_answered_at_ = clock_.now();
}

auto peer_feed::look_at_store(std::string table, std::int64_t after) -> task<result<row_page>> {
  if (busy_) {
    co_await pause_for(*loop_, settings_.busy_gap_);
  }
  auto page = co_await rows_->changes(std::move(table), after, settings_.store_wait_);
  if (!ok(page)) {
    co_return page;
  }
  auto brought = value(page).rows_.size();
  busy_ = brought >= settings_.busy_rows_ && brought < settings_.full_rows_;
  store_answered_at_ = clock_.now();
  if (after <= log_.version()) {
    auto before = log_.last_change();
    value(page).rows_ = log_.take(value(page).rows_, std::max(log_.version(), value(page).version_));
    if (log_.last_change() != before) {
      changed_.notify();
    }
  }
  co_return page;
}

auto peer_feed::look_at_peer(std::string address, std::int64_t after) -> task<result<row_page>> {
  auto parsed = parse_address(address);
  if (!ok(parsed)) {
    co_return failure(parsed);
  }
  auto target = std::string{path} + std::to_string(after) + "/" + std::to_string(settings_.wait_);
  auto request = std::make_shared<http_request>(http::verb::get, target, 11);
  request->set(http::field::host, address);
  auto answered = co_await call_http(*connections_, value(parsed), std::move(request),
                                     settings_.wait_ + settings_.grace_, most_answer);
  if (const auto* fault = std::get_if<exchange_fault>(&answered)) {
    co_return error{error_code::store_unknown, std::string{name_of(*fault)}};
  }
  const auto& got = std::get<whole_answer>(answered);
  if (got.status_ != static_cast<unsigned>(http::status::ok)) {
    co_return error{error_code::store_unavailable, "status " + std::to_string(got.status_)};
  }
  auto page = decode_page(got.body_);
  if (ok(page)) {
    log_.take(value(page).rows_, value(page).version_);
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
  auto sign = char{};
  text >> after >> sign >> wait;
  if (!text || after < 0 || wait < 0 || wait > most_wait) {
    co_return http_response{http::status::bad_request, 11};
  }
  auto due = clock_.now() + wait;
  // Who asks may know more: it looked at the store itself, and this daemon's next look is under way.
  auto nothing_new = [&] { return log_.version() < after || log_.last_change() <= after; };
  while (may_answer() && nothing_new() && clock_.now() < due) {
    co_await changed_.wait_for(due - clock_.now());
  }
  if (!may_answer() || log_.version() < after) {
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
