/// What the library's blocking client lets pass although it is no response in the protocol.
#pragma once

namespace httplib {
struct Response;
}

namespace birchlever {

/// True if a response has a final status, well-formed names of fields and a body that the client can read.
/// Otherwise the peer may have processed the request, and nothing else is known.
[[nodiscard]] auto is_valid_response(const httplib::Response& response) -> bool;

}  // namespace birchlever
