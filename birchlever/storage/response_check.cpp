#include "birchlever/storage/response_check.h"

#include <httplib.h>

#include <algorithm>

#include "birchlever/http/http_message.h"

namespace birchlever {
namespace {

/// The client knows no coding but chunked, and takes any other body as it is, up to the connection's end.
auto has_supported_coding(const httplib::Response& response) -> bool {
  auto fields = response.headers.equal_range("Transfer-Encoding");
  auto joined = std::string{};
  for (auto next = fields.first; next != fields.second; ++next) {
    joined += (joined.empty() ? "" : ",") + next->second;
  }
  auto coded = fields.first != fields.second;
  return !coded || (response.version == "HTTP/1.1" && is_supported_coding(joined));
}

/// A malformed name may hide the field that says where the body ends.
auto has_valid_names(const httplib::Response& response) -> bool {
  return std::all_of(response.headers.begin(), response.headers.end(),
                     [](const auto& field) { return is_token(field.first); });
}

}  // namespace

auto is_valid_response(const httplib::Response& response) -> bool {
  auto final = kind_of_status(static_cast<unsigned>(response.status)) == status_kind::final;
  return final && has_valid_names(response) && has_supported_coding(response);
}

}  // namespace birchlever
