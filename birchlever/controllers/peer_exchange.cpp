#include "birchlever/controllers/peer_exchange.h"

#include <algorithm>
#include <array>

#include "birchlever/core/hashing.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto most_datagram =
    std::size_t{8192};  // A message names upstreams in use only: about 20 bytes each.
constexpr auto first_list_gap = milliseconds{700};  // After a start in common others announce themselves too.
constexpr auto retry_gap = milliseconds{500};
constexpr auto list_limit = milliseconds{10000};  // For all pages of the list.

}  // namespace

peer_exchange::peer_exchange(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                             peer_exchange_settings settings, describe_function describe)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{std::move(settings)},
      describe_{std::move(describe)},
      socket_{loop},
      random_{static_cast<std::uint32_t>(hash_of(settings_.vm_))},
      views_{settings_.vm_, settings_.max_state_age_, std::make_shared<steady_clock>()} {}

auto peer_exchange::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                           const peer_exchange_settings& settings, describe_function describe)
    -> result<std::shared_ptr<peer_exchange>> {
  auto parsed = parse_address(settings.address_);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  auto made =
      std::shared_ptr<peer_exchange>{new peer_exchange{loop, std::move(rows), settings, std::move(describe)}};
  auto code = boost::system::error_code{};
  made->socket_.open(asio::ip::udp::v4(), code);
  if (!code) {
    made->socket_.bind({value(parsed).address(), value(parsed).port()}, code);
  }
  if (!code) {
    made->socket_.non_blocking(true, code);
  }
  if (code) {
    return error{error_code::invalid_setting, "can't bind " + settings.address_ + ": " + code.message()};
  }
  start(loop, "peer_send", made->send_all());
  start(loop, "peer_receive", made->receive_all());
  start(loop, "peer_list", made->follow_list());
  return made;
}

auto peer_exchange::send(const peer_state& state, int most) -> void {
  auto bytes = encode(state);
  if (bytes.size() > most_datagram) {
    log_event(log_level::warning, "peer_message_too_long",
              {{"bytes", static_cast<std::int64_t>(bytes.size())}});
    return;
  }
  auto count = std::min(receivers_.size(), static_cast<std::size_t>(most));
  if (count < receivers_.size()) {
    std::shuffle(receivers_.begin(), receivers_.end(), random_);
  }
  for (auto next = std::size_t{0}; next < count; ++next) {
    auto ignored = boost::system::error_code{};  // A datagram may always be lost; the next follows soon.
    socket_.send_to(asio::buffer(bytes), receivers_[next], 0, ignored);
  }
}

auto peer_exchange::send_all() -> task<> {
  auto self = shared_from_this();
  while (true) {
    co_await pause_for(*loop_, settings_.send_interval_);
    send(describe_(), settings_.max_receivers_);
  }
}

auto peer_exchange::publish(const upstream_news& news) -> void {
  untold_.push_back(news);
  if (untold_.size() == 1) {
    start(*loop_, "peer_news", send_news());
  }
}

auto peer_exchange::send_news() -> task<> {
  auto self = shared_from_this();
  auto since_last = clock_.now() - told_at_;
  co_await pause_for(*loop_, std::max(settings_.report_delay_, settings_.min_report_interval_ - since_last));
  told_at_ = clock_.now();
  auto state = peer_state{};  // News only: many get it, and what a daemon runs is told in regular messages.
  state.vm_ = settings_.vm_;
  state.news_ = std::exchange(untold_, {});
  send(state, settings_.max_report_receivers_);
}

auto peer_exchange::receive_all() -> task<> {
  auto self = shared_from_this();
  auto buffer = std::vector<char>(most_datagram);
  while (true) {
    auto code = boost::system::error_code{};
    auto sender = asio::ip::udp::endpoint{};
    auto read = co_await socket_.async_receive_from(asio::buffer(buffer), sender, resume_with(code));
    if (code == asio::error::operation_aborted) {
      co_return;
    }
    if (code) {
      continue;  // A peer's port that was closed answers so; the next datagram tells more.
    }
    auto decoded = decode_peer_state({buffer.data(), read});
    if (!ok(decoded)) {
      log_failure(log_level::warning, "peer_message_unreadable", failure(decoded));
      continue;
    }
    learn(sender);
    take(std::move(value(decoded)));
  }
}

auto peer_exchange::learn(const asio::ip::udp::endpoint& peer) -> void {
  if (known_.insert(peer).second) {
    receivers_.push_back(peer);
  }
}

auto peer_exchange::take(peer_state said) -> void {
  if (said.news_.empty()) {
    auto vm = said.vm_;
    views_.record_state(std::move(said));
    if (on_heard_) {
      on_heard_(vm);
    }
    return;
  }
  for (const auto& one : said.news_) {
    if (on_news_) {
      on_news_(said.vm_, one);
    }
  }
}

auto peer_exchange::announce() -> task<bool> {
  auto row = row_transaction{{}, {{{settings_.table_, "", settings_.vm_}, settings_.address_}}, {}};
  auto written = co_await rows_->commit(std::move(row), settings_.call_limit_);
  co_return ok(written);
}

auto peer_exchange::follow_list() -> task<> {
  auto self = shared_from_this();
  auto read_before = false;
  while (true) {
    auto good = co_await read_list();
    auto next = std::exchange(read_before, read_before || good) ? settings_.list_gap_ : first_list_gap;
    co_await pause_for(*loop_, good ? next : retry_gap);
  }
}

auto peer_exchange::read_list() -> task<bool> {
  auto range = row_range{settings_.table_, "", "", ""};
  auto page = co_await read_all(*rows_, range, settings_.call_limit_, list_limit);
  if (!ok(page)) {
    co_return false;  // The store's followers log that it is away.
  }
  receivers_.clear();
  known_.clear();
  list_known_ = true;
  auto listed_here = false;
  auto listed = std::map<std::string, asio::ip::udp::endpoint>{};
  for (const auto& row : value(page).rows_) {
    auto parsed = parse_address(row.value_);
    auto ours = row.key_.key_ == settings_.vm_;
    listed_here = listed_here || (ours && row.value_ == settings_.address_);
    if (!ours && ok(parsed)) {
      auto endpoint = asio::ip::udp::endpoint{value(parsed).address(), value(parsed).port()};
      learn(endpoint);
      listed.emplace(row.key_.key_, endpoint);
    }
  }
  if (on_list_) {
    on_list_(listed);
  }
  if (!listed_here) {
    co_return co_await announce();
  }
  co_await forget_silent(std::move(value(page).rows_));
  co_return true;
}

auto peer_exchange::forget_silent(std::vector<stored_row> rows) -> task<> {
  auto now = clock_.now();
  auto still_silent = std::map<std::string, milliseconds>{};
  for (const auto& row : rows) {
    const auto& vm = row.key_.key_;
    auto known = silent_since_.find(vm);
    auto listed_since = known == silent_since_.end() ? now : known->second;
    auto since = views_.heard_at(vm).value_or(listed_since);
    if (vm == settings_.vm_ || now - since < settings_.forget_) {
      still_silent[vm] = since;
      continue;
    }
    log_event(log_level::info, "peer_forgotten", {{"peer", vm}, {"silent_ms", now - since}});
    auto removal = row_transaction{{{row.key_, row.version_}}, {}, {row.key_}};
    co_await rows_->commit(std::move(removal),
                           settings_.call_limit_);  // Failed: the next reading tries again.
    views_.forget(vm);
  }
  silent_since_ = std::move(still_silent);
}

}  // namespace birchlever
