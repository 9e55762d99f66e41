#include "birchlever/controllers/peer_exchange.h"

#include <algorithm>
#include <array>

#include "birchlever/core/hashing.h"
#include "birchlever/http/bind_failure.h"
#include "birchlever/http/http_listener.h"
#include "birchlever/telemetry/log.h"

namespace birchlever {
namespace {

constexpr auto max_datagram_bytes = std::size_t{8192};   // About 20 bytes for each upstream in use.
constexpr auto max_records = std::size_t{64};            // Per message; about 70 bytes each.
constexpr auto max_pending_records = std::size_t{1024};  // Sent within 1.3 s.
constexpr auto first_list_interval =
    milliseconds{700};  // Daemons started at the same time register meanwhile.
constexpr auto retry_interval = milliseconds{500};
constexpr auto max_unlisted_reads = 3;  // Of the list, due to one VM; it may be unable to register.
constexpr auto list_timeout = milliseconds{10000};  // For all pages of the list.

}  // namespace

peer_exchange::peer_exchange(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                             peer_exchange_settings settings, describe_function describe)
    : loop_{&loop},
      rows_{std::move(rows)},
      settings_{std::move(settings)},
      describe_{std::move(describe)},
      socket_{loop},
      random_{static_cast<std::uint32_t>(hash_of(settings_.vm_))},
      unlisted_seen_{loop},
      views_{settings_.vm_, settings_.max_state_age_, std::make_shared<steady_clock>()} {}

auto peer_exchange::create(event_loop& loop, std::shared_ptr<row_store_interface> rows,
                           const peer_exchange_settings& settings, describe_function describe)
    -> result<std::shared_ptr<peer_exchange>> {
  auto parsed = parse_address(settings.address_);
  if (!ok(parsed)) {
    return failure(parsed);
  }
  auto exchange =
      std::shared_ptr<peer_exchange>{new peer_exchange{loop, std::move(rows), settings, std::move(describe)}};
  auto code = boost::system::error_code{};
  exchange->socket_.open(asio::ip::udp::v4(), code);
  if (!code) {
    exchange->socket_.bind({value(parsed).address(), value(parsed).port()}, code);
  }
  if (!code) {
    exchange->socket_.non_blocking(true, code);
  }
  if (code) {
    return bind_failure(settings.address_, code);
  }
  start(loop, "peer_send", exchange->send_all());
  start(loop, "peer_receive", exchange->receive_all());
  start(loop, "peer_list", exchange->follow_list());
  return exchange;
}

auto peer_exchange::send(const peer_state& state, int max_receivers) -> void {
  auto bytes = encode(state);
  if (bytes.size() > max_datagram_bytes) {
    log_event(log_level::warning, "peer_message_too_long",
              {{"bytes", static_cast<std::int64_t>(bytes.size())}});
    return;
  }
  auto count = std::min(receivers_.size(), static_cast<std::size_t>(max_receivers));
  if (count < receivers_.size()) {
    std::shuffle(receivers_.begin(), receivers_.end(), random_);
  }
  for (auto next = std::size_t{0}; next < count; ++next) {
    auto ignored = boost::system::error_code{};  // Datagrams may be lost; the next one follows soon.
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

auto peer_exchange::publish(const upstream_health_report& report) -> void {
  pending_reports_.push_back(report);
  start_reports();
}

auto peer_exchange::publish(const send_record& record) -> void {
  if (pending_records_.size() >= max_pending_records) {
    log_event(log_level::warning, "peer_record_dropped",
              {{"fingerprint", pending_records_.front().record_.fingerprint_},
               {"waiting", static_cast<std::int64_t>(pending_records_.size())}});
    pending_records_.erase(pending_records_.begin());
  }
  pending_records_.push_back({record, clock_.now()});
  start_reports();
}

auto peer_exchange::start_reports() -> void {
  if (!std::exchange(reporting_, true)) {
    start(*loop_, "peer_news", send_reports());
  }
}

auto peer_exchange::take_send_records() -> std::vector<send_record> {
  auto taken = std::vector<send_record>{};
  auto left = std::vector<pending_record>{};
  for (auto& pending : pending_records_) {
    if (taken.size() < max_records) {
      taken.push_back(pending.record_);
      taken.back().age_ += clock_.now() - pending.since_;
      --pending.messages_;
    }
    if (pending.messages_ > 0) {
      left.push_back(std::move(pending));
    }
  }
  pending_records_ = std::move(left);
  return taken;
}

auto peer_exchange::send_reports() -> task<> {
  auto self = shared_from_this();
  while (!pending_reports_.empty() || !pending_records_.empty()) {
    auto since_last = clock_.now() - reports_sent_at_;
    auto interval =
        pending_records_.empty() ? settings_.min_report_interval_ : settings_.min_record_interval_;
    co_await pause_for(*loop_, std::max(settings_.report_delay_, interval - since_last));
    reports_sent_at_ = clock_.now();
    auto state = peer_state{};  // Reports only; the rest is sent in regular messages.
    state.vm_ = settings_.vm_;
    state.health_reports_ = std::exchange(pending_reports_, {});
    state.send_records_ = take_send_records();
    send(state, settings_.max_report_receivers_);
  }
  reporting_ = false;
}

auto peer_exchange::receive_all() -> task<> {
  auto self = shared_from_this();
  auto buffer = std::vector<char>(max_datagram_bytes);
  while (true) {
    auto code = boost::system::error_code{};
    auto sender = asio::ip::udp::endpoint{};
    auto read = co_await socket_.async_receive_from(asio::buffer(buffer), sender, resume_with(code));
    if (code == asio::error::operation_aborted) {
      co_return;
    }
    if (code) {
      continue;  // ICMP port unreachable from an earlier datagram.
    }
    auto decoded = decode_peer_state({buffer.data(), read});
    if (!ok(decoded)) {
      log_failure(log_level::warning, "peer_message_unreadable", failure(decoded));
      continue;
    }
    add_receiver(sender);
    handle_message(std::move(value(decoded)), sender);
  }
}

auto peer_exchange::add_receiver(const asio::ip::udp::endpoint& peer) -> void {
  if (known_.insert(peer).second) {
    receivers_.push_back(peer);
  }
}

auto peer_exchange::introduce(const asio::ip::udp::endpoint& peer) -> void {
  auto records = introduce_ ? introduce_() : std::vector<send_record>{};
  for (auto first = records.begin(); first != records.end();) {
    auto count = std::min<std::ptrdiff_t>(records.end() - first, max_records);
    auto state = peer_state{};
    state.vm_ = settings_.vm_;
    state.send_records_.assign(first, first + count);
    first += count;
    auto ignored = boost::system::error_code{};  // Others introduce the peer, too.
    socket_.send_to(asio::buffer(encode(state)), peer, 0, ignored);
  }
}

auto peer_exchange::handle_message(peer_state state, const asio::ip::udp::endpoint& sender) -> void {
  if (state.health_reports_.empty() && state.send_records_.empty()) {
    auto vm = state.vm_;
    auto started = views_.is_new_process(state);
    views_.record_state(std::move(state));
    if (started) {
      introduce(sender);
    }
    if (on_peer_seen_) {
      on_peer_seen_(vm);
    }
    auto unlisted = list_known_ && vm != settings_.vm_ && listed_.count(vm) == 0;
    if (unlisted && unlisted_reads_[vm] < max_unlisted_reads) {
      unlisted_peer_ = vm;
      unlisted_seen_.notify();
    }
    return;
  }
  for (const auto& report : state.health_reports_) {
    if (on_health_report_) {
      on_health_report_(state.vm_, report);
    }
  }
  for (const auto& record : state.send_records_) {
    if (on_send_record_) {
      on_send_record_(record);
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
    auto succeeded = co_await read_list();
    if (succeeded && !read_before) {
      send(describe_(), settings_.max_receivers_);  // Peers tell a daemon that has started what they know.
    }
    auto next =
        std::exchange(read_before, read_before || succeeded) ? settings_.list_interval_ : first_list_interval;
    co_await wait_for_list(succeeded ? next : retry_interval);
  }
}

auto peer_exchange::wait_for_list(milliseconds interval) -> task<> {
  auto read_at = clock_.now();
  auto due = read_at + interval;
  while (unlisted_peer_.empty() && clock_.now() < due) {
    co_await unlisted_seen_.wait_for(due - clock_.now());
  }
  if (unlisted_peer_.empty()) {
    unlisted_reads_.clear();
    co_return;
  }
  ++unlisted_reads_[unlisted_peer_];
  auto earliest = std::max(clock_.now() + settings_.unlisted_delay_, read_at + settings_.min_list_interval_);
  auto read_next = std::min(earliest, due);
  co_await pause_for(*loop_, std::max<milliseconds>(read_next - clock_.now(), 0));
  log_event(log_level::info, "unlisted_peer_heard",
            {{"peer", std::exchange(unlisted_peer_, {})}, {"list_age_ms", clock_.now() - read_at}});
}

auto peer_exchange::read_list() -> task<bool> {
  auto range = row_range{settings_.table_, "", "", ""};
  auto page = co_await read_all(*rows_, range, settings_.call_limit_, list_timeout);
  if (!ok(page)) {
    co_return false;  // The table followers log that the store is unreachable.
  }
  receivers_.clear();
  known_.clear();
  list_known_ = true;
  listed_.clear();
  auto self_listed = false;
  auto listed = std::map<std::string, asio::ip::udp::endpoint>{};
  for (const auto& row : value(page).rows_) {
    auto parsed = parse_address(row.value_);
    auto is_self = row.key_.key_ == settings_.vm_;
    self_listed = self_listed || (is_self && row.value_ == settings_.address_);
    listed_.insert(row.key_.key_);
    if (!is_self && ok(parsed)) {
      auto endpoint = asio::ip::udp::endpoint{value(parsed).address(), value(parsed).port()};
      add_receiver(endpoint);
      listed.emplace(row.key_.key_, endpoint);
    }
  }
  if (on_list_) {
    on_list_(listed);
  }
  if (!self_listed) {
    co_return co_await announce();
  }
  co_await remove_unresponsive(std::move(value(page).rows_));
  co_return true;
}

auto peer_exchange::remove_unresponsive(std::vector<stored_row> rows) -> task<> {
  auto now = clock_.now();
  auto unseen = std::map<std::string, milliseconds>{};
  for (const auto& row : rows) {
    const auto& vm = row.key_.key_;
    auto known = unseen_since_.find(vm);
    auto listed_since = known == unseen_since_.end() ? now : known->second;
    auto last_seen = views_.last_seen(vm).value_or(listed_since);
    if (vm == settings_.vm_ || now - last_seen < settings_.remove_after_) {
      unseen[vm] = last_seen;
      continue;
    }
    log_event(log_level::info, "peer_removed", {{"peer", vm}, {"silent_ms", now - last_seen}});
    auto removal = row_transaction{{{row.key_, row.version_}}, {}, {row.key_}};
    // A failed removal is retried with the next read of the list.
    co_await rows_->commit(std::move(removal), settings_.call_limit_);
    views_.forget(vm);
  }
  unseen_since_ = std::move(unseen);
}

}  // namespace birchlever
