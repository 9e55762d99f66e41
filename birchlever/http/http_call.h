/// One whole exchange over a pool of connections: a request, its answer read to the end.
#pragma once

#include <memory>
#include <string>

#include "birchlever/http/connection_pool.h"

namespace birchlever {

/// An answer's status and body.
struct whole_answer {
  unsigned status_ = 0;
  std::string body_;
};

/// Sends a request and reads its whole answer, of at most `most_body` bytes, within `limit` ms. Any kept
/// connection is taken, so the request must be one that may be repeated or whose caller sorts that out.
auto call_http(connection_pool& connections, asio::ip::tcp::endpoint address,
               std::shared_ptr<const http_request> request, milliseconds limit, std::size_t most_body)
    -> task<exchanged<whole_answer>>;

}  // namespace birchlever
