/// Responds to a request before it has read it, and often breaks the connection under the response.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <random>
#include <string>

#include "birchlever/http/task.h"
#include "soak/soak_ledger.h"

namespace birchlever::soak {

/// How the response to one request is sent. Drawn from a seed.
struct early_response {
  bool whole_ = false;  ///< The connection ends properly after the response; otherwise it is reset.
  int status_ = 200;
  bool reads_request_ = false;  ///< The whole of it, before the response.
  milliseconds ends_after_ = 0;
};

/// Serves one connection of an upstream. For the soak's one loop.
class early_responder {
 public:
  early_responder(event_loop& loop, soak_ledger& ledger, std::string upstream, bool engine)
      : loop_{&loop}, ledger_{&ledger}, upstream_{std::move(upstream)}, engine_{engine} {}

  /// Reads the head of one request and responds. Health checks and requests for another upstream are answered
  /// well. The response has no length, so its end tells whether it is whole.
  auto serve(std::shared_ptr<asio::ip::tcp::socket> socket, early_response response) -> task<>;

  /// Draws how to respond.
  static auto draw(std::mt19937_64& random) -> early_response;

 private:
  auto respond(asio::ip::tcp::socket& socket, const early_response& response, const std::string& received,
               std::size_t head_size) -> task<>;
  auto end(asio::ip::tcp::socket& socket, const early_response& response) -> task<>;

  event_loop* loop_;
  soak_ledger* ledger_;
  std::string upstream_;
  bool engine_;
};

}  // namespace birchlever::soak
