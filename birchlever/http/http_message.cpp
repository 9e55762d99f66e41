#include "birchlever/http/http_message.h"

#include <array>
#include <charconv>
#include <vector>

namespace birchlever {
namespace {

constexpr auto connection_fields = std::array<std::string_view, 9>{
    "Connection", "Keep-Alive",         "Proxy-Connection",   "TE", "Trailer", "Transfer-Encoding",
    "Upgrade",    "Proxy-Authenticate", "Proxy-Authorization"};

/// Removes blanks and tabs at both ends.
auto trimmed(std::string_view text) -> std::string_view {
  constexpr auto blanks = " \t";
  auto begin = text.find_first_not_of(blanks);
  return begin == std::string_view::npos ? std::string_view{}
                                         : text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

}  // namespace

auto field_of(const http::fields& fields, std::string_view name) -> std::string_view {
  auto found = fields.find(to_beast(name));
  if (found == fields.end()) {
    return {};
  }
  return {found->value().data(), found->value().size()};
}

auto remove_hop_by_hop(http::fields& fields) -> void {
  auto named = std::vector<std::string>{};
  auto range = fields.equal_range(http::field::connection);
  for (auto next = range.first; next != range.second; ++next) {
    for (auto token : http::token_list{next->value()}) {
      named.emplace_back(token);
    }
  }
  for (const auto& name : named) {
    fields.erase(name);
  }
  for (auto name : connection_fields) {
    fields.erase(to_beast(name));
  }
}

auto keep_alive_ms(const http::fields& fields) -> std::optional<milliseconds> {
  constexpr auto label = std::string_view{"timeout="};
  constexpr auto ms_per_second = milliseconds{1000};
  auto text = field_of(fields, "Keep-Alive");
  auto at = text.find(label);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  auto digits = text.substr(at + label.size());
  auto seconds = parse_count(digits.substr(0, digits.find_first_not_of("0123456789")));
  if (!seconds) {
    return std::nullopt;
  }
  return *seconds * ms_per_second;
}

auto kind_of_status(unsigned status) -> status_kind {
  constexpr auto first_interim = 100U;
  constexpr auto switching_protocols = 101U;
  constexpr auto first_final = 200U;
  constexpr auto first_beyond = 600U;
  if (status < first_interim || status >= first_beyond || status == switching_protocols) {
    return status_kind::invalid;
  }
  return status < first_final ? status_kind::interim : status_kind::final;
}

auto is_supported_coding(std::string_view transfer_encoding) -> bool {
  // A token_list would end at the first element that is no token, as if it were the last.
  auto codings = 0;
  auto all_chunked = true;
  while (!transfer_encoding.empty()) {
    auto comma = transfer_encoding.find(',');
    auto coding = trimmed(transfer_encoding.substr(0, comma));
    transfer_encoding.remove_prefix(comma == std::string_view::npos ? transfer_encoding.size() : comma + 1);
    if (!coding.empty()) {
      ++codings;
      all_chunked = all_chunked && boost::beast::iequals(to_beast(coding), "chunked");
    }
  }
  return codings == 1 && all_chunked;
}

auto has_no_body(const http::response_header<>& head) -> bool {
  return head.result() == http::status::no_content || head.result() == http::status::not_modified;
}

auto has_readable_body(const http::response_header<>& head) -> bool {
  constexpr auto version_1_1 = 11U;
  auto joined = std::string{};
  auto fields = head.equal_range(http::field::transfer_encoding);
  for (auto next = fields.first; next != fields.second; ++next) {
    joined += (joined.empty() ? "" : ",") + std::string{next->value()};
  }
  auto coded = fields.first != fields.second;
  return !coded || (head.version() >= version_1_1 && is_supported_coding(joined));
}

auto is_token(std::string_view text) -> bool {
  constexpr auto token_characters =
      std::string_view{"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"};
  return !text.empty() && text.find_first_not_of(token_characters) == std::string_view::npos;
}

auto parse_count(std::string_view text) -> std::optional<std::int64_t> {
  auto number = std::int64_t{0};
  const auto* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, number);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end || number < 0) {
    return std::nullopt;
  }
  return number;
}

}  // namespace birchlever
