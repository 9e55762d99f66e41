/// Client accounts of the soak: whose keys there are, which are taken away, and callers that try the borders.
#pragma once

#include <array>
#include <string>

#include "birchlever/accounts/client_account.h"
#include "soak/soak_ledger.h"

namespace birchlever::soak {

/// The accounts of one run. Plain decisions, no network.
class soak_accounts {
 public:
  /// Accounts whose programs run all the time.
  static constexpr auto usual = std::array<const char*, 3>{"blue", "green", "red"};

  /// An account that sends far more than it may.
  static constexpr auto hot = "hot";
  static constexpr auto hot_allotment = account_allotment{20, 20};

  /// What the platform's rule allows the hot account in any span of `hot_window_`.
  static constexpr auto hot_window = milliseconds{5000};
  static constexpr auto most_hot = 152;  // (20/s x 5 s + 20) x 1.1 + 20.

  /// The account of a program by its caller's number, with its lasting key.
  [[nodiscard]] static auto of_caller(int number) -> sender {
    auto name = std::string{usual.at(static_cast<std::size_t>(number) % usual.size())};
    return {name, name + "-key"};
  }

  /// Another account than the given one.
  [[nodiscard]] static auto stranger_to(const sender& owner) -> sender {
    return of_caller(owner.account_ == usual[0] ? 1 : 0);
  }

  /// The key that the configuration of a version holds beside the lasting ones, and the next takes away.
  [[nodiscard]] static auto spare_key(int version) -> sender {
    return {usual[0], "spare-key-" + std::to_string(version)};
  }

  [[nodiscard]] static auto of_hot() -> sender { return {hot, std::string{hot} + "-key"}; }
};

}  // namespace birchlever::soak
