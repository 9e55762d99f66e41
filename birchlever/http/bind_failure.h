/// Tells an address that cannot be bound yet from one that never can.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "birchlever/core/result.h"

namespace birchlever {

/// Returns the error of a failed attempt to open what a start needs, for example "the event loop":
/// address_unavailable if the same attempt may succeed later (another process holds the port, the address is
/// not configured yet, the system is short of descriptors or memory), invalid_setting otherwise.
[[nodiscard]] auto open_failure(const std::string& what, const boost::system::error_code& code) -> error;

/// Returns the error of a failed attempt to bind or listen on "ip:port".
[[nodiscard]] auto bind_failure(const std::string& address, const boost::system::error_code& code) -> error;

/// Binds a TCP address and releases it. Failures: those of bind_failure.
[[nodiscard]] auto check_bindable(const boost::asio::ip::tcp::endpoint& address) -> status;

}  // namespace birchlever
