#include "birchlever/gateway/request_fingerprint.h"

#include <array>
#include <cstdio>

#include "birchlever/coordination/crash_history.h"
#include "birchlever/core/hashing.h"
#include "birchlever/gateway/gateway_request.h"

namespace birchlever {
namespace {

constexpr auto second_seed = std::uint64_t{1};  // Two 64-bit hashes make one digest.

/// Appends a field with its length, so that different fields never yield equal texts.
auto append_field(std::string& text, std::string_view field) -> void {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

/// Returns the fields that decide what an upstream does with a request.
auto content_text(const gateway_request& request) -> std::string {
  const auto& metadata = request.metadata_;
  const auto& message = request.message_;
  auto text = std::string{};
  append_field(text, request.account_name());
  append_field(text, std::string{message.method_string()});
  append_field(text, field_of(message, "Host"));
  append_field(text, std::string{message.target()});
  append_field(text, field_of(message, "Cookie"));
  append_field(text, metadata.previous_turn_);
  append_field(text, metadata.model_);
  append_field(text, message.body());
  for (const auto& part : metadata.parts_) {
    append_field(text, std::to_string(part.id_));
  }
  return text;
}

auto digest_of(const std::string& text) -> std::string {
  auto digits = std::array<char, 33>{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash_of(text)),
                static_cast<unsigned long long>(hash_of(text, second_seed)));
  return digits.data();
}

}  // namespace

auto fingerprint_of(const gateway_request& request) -> std::string {
  const auto& metadata = request.metadata_;
  auto text = content_text(request);
  append_field(text, metadata.program_.empty() ? "id " + metadata.request_id_ : metadata.program_);
  append_field(text, metadata.session_);
  return digest_of(text);
}

auto content_fingerprint_of(const gateway_request& request) -> std::string {
  return std::string{content_prefix} + digest_of(content_text(request));
}

}  // namespace birchlever
