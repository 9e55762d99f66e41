/// A stand-in of an upstream: a model engine that streams, or a plain service. It notes what it ran.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "birchlever/http/http_listener.h"
#include "soak/early_responder.h"
#include "soak/soak_ledger.h"
#include "soak/soak_settings.h"

namespace birchlever::soak {

/// What an upstream does with a request instead of answering it well.
enum class upstream_fault { none, refuses, resets, loses_answer, breaks_off };

/// Who an upstream is.
struct upstream_identity {
  std::string id_;
  std::string service_;
  std::string address_;  ///< "ip:port" at which it listens.
  bool engine_ = false;
  std::string listed_address_;  ///< "ip:port" in the store's list: its own, or that of a link before it.
};

/// For the soak's one loop.
class upstream_stand_in {
 public:
  static constexpr auto tokens_per_event = 4;

  /// A request whose body contains this ends the upstream that runs it.
  static constexpr std::string_view harmful_text = "harmful work ";

  /// A header that holds the number of the form in which it ends.
  static constexpr auto form_header = "Soak-Harmful-Form";

  /// Serves at its address. Failures: invalid_setting.
  static auto create(event_loop& loop, upstream_identity identity, soak_ledger& ledger, std::uint64_t seed)
      -> result<std::unique_ptr<upstream_stand_in>>;

  ~upstream_stand_in() { close_port(); }
  upstream_stand_in(const upstream_stand_in&) = delete;
  auto operator=(const upstream_stand_in&) -> upstream_stand_in& = delete;

  /// A share of the requests, 0 to 1, meets the fault from now on.
  auto set_fault(upstream_fault fault, double share) -> void;

  /// A share of new connections, 0 to 1, get an early response from now on. The others are not kept open
  /// meanwhile, so that there are new ones.
  auto set_early_share(double share) -> void { early_share_ = share; }

  /// From this moment of the soak's clock on it is leaving, as the store has acknowledged.
  auto leave(milliseconds now) -> void { left_at_ = now; }

  /// Called when a request ended it.
  auto on_ended(std::function<void()> callback) -> void { on_ended_ = std::move(callback); }

  /// Takes no more connections and answers nothing.
  auto die() -> void;

  [[nodiscard]] auto identity() const -> const upstream_identity& { return identity_; }
  [[nodiscard]] auto left_at() const -> std::optional<milliseconds> { return left_at_; }

  /// When a request last reached it, on the soak's clock.
  [[nodiscard]] auto reached_at() const -> milliseconds { return reached_at_; }

 private:
  upstream_stand_in(event_loop& loop, upstream_identity identity, soak_ledger& ledger, std::uint64_t seed);

  auto listen() -> status;
  auto accept_all() -> task<>;
  auto close_port() -> void;
  auto serve(std::shared_ptr<server_connection> connection) -> task<>;
  auto handle(const http_request& request, server_connection& connection) -> task<bool>;
  auto stream(const std::string& id, int events, bool breaks, http_response head,
              server_connection& connection) -> task<bool>;
  auto draw_fault() -> upstream_fault;
  auto draw_early() -> bool;
  auto end_under(std::string work, harmful_form form) -> task<>;
  auto answer_health(server_connection& connection) -> task<bool>;
  /// Holds a connection open without answering.
  auto hold(server_connection& connection) -> task<>;

  event_loop* loop_;
  upstream_identity identity_;
  soak_ledger* ledger_;
  std::shared_ptr<asio::ip::tcp::acceptor> acceptor_;  ///< Shared with the coroutine that accepts.
  early_responder early_responder_;
  std::mt19937_64 random_;
  std::mt19937_64 early_random_;  ///< Apart, so that the other draws of a seed stay as they are.
  steady_clock clock_;
  upstream_fault fault_ = upstream_fault::none;
  double fault_share_ = 0;
  double early_share_ = 0;
  std::optional<milliseconds> left_at_;
  milliseconds reached_at_ = 0;
  bool dead_ = false;
  bool silent_ = false;
  std::string running_id_;  ///< Of the process at the port.
  std::set<std::shared_ptr<server_connection>> connections_;
  std::function<void()> on_ended_;
};

}  // namespace birchlever::soak
