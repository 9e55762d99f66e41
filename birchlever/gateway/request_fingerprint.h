/// Recognizes repeats of a request, which have other ids and may reach other daemons.
#pragma once

#include <string>

namespace birchlever {

struct gateway_request;

/// Returns a digest in hexadecimal of what all attempts of one piece of work have in common: account, method,
/// target, program, session, previous turn, prompt, cookies and body, but not the request id. Requests
/// outside programs are told apart by their ids: equal ones may be the work of different callers. Must be
/// called before the stored history is prepended to the body.
[[nodiscard]] auto fingerprint_of(const gateway_request& request) -> std::string;

/// Likewise without program, session and id: equal for all requests that ask an upstream for the same,
/// whoever sends them. Never equal to a fingerprint of `fingerprint_of`.
[[nodiscard]] auto content_fingerprint_of(const gateway_request& request) -> std::string;

}  // namespace birchlever
