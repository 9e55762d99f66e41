#include "birchlever/filters/parse_filter.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "birchlever/core/daemon_settings.h"
#include "birchlever/core/hashing.h"
#include "birchlever/upstream/upstream_table.h"

namespace birchlever {
namespace {

using nlohmann::json;

constexpr auto bytes_per_token = std::size_t{4};
constexpr auto max_prefix_hashes = std::size_t{64};
constexpr auto max_name_bytes = std::size_t{128};
constexpr auto max_number = std::int64_t{1} << 40;

auto type_error(const std::string& detail) -> error {
  return error{error_code::wrong_type, detail};
}

/// Reads an integer from a header or, without one, from the body's birchlever object. Returns the default if
/// it is in neither.
auto read_number(const request_context& context, const json& extension, const std::string& name,
                 std::int64_t default_value, std::int64_t min_value) -> result<std::int64_t> {
  auto header = context.header("birchlever-" + name);
  if (!header.empty()) {
    auto digits = header.size() <= 12 && header.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || std::stoll(header) < min_value) {
      return type_error("header birchlever-" + name + " must be an integer of at least " +
                        std::to_string(min_value));
    }
    return std::stoll(header);
  }
  auto key = name;
  std::replace(key.begin(), key.end(), '-', '_');
  if (!extension.contains(key)) {
    return default_value;
  }
  const auto& field = extension[key];
  auto valid = field.is_number_integer() && field.get<std::int64_t>() >= min_value &&
               field.get<std::int64_t>() <= max_number;
  if (!valid) {
    return type_error("birchlever." + key + " must be an integer of at least " + std::to_string(min_value));
  }
  return field.get<std::int64_t>();
}

auto read_flag(const request_context& context, const json& extension, const std::string& name,
               bool default_value) -> result<bool> {
  auto header = context.header("birchlever-" + name);
  if (!header.empty()) {
    if (header != "yes" && header != "no") {
      return type_error("header birchlever-" + name + " must be yes or no");
    }
    return header == "yes";
  }
  if (!extension.contains(name)) {
    return default_value;
  }
  if (!extension[name].is_boolean()) {
    return type_error("birchlever." + name + " must be true or false");
  }
  return extension[name].get<bool>();
}

auto message_text(const json& message) -> std::optional<std::string> {
  if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
    return std::nullopt;
  }
  auto text = message["role"].get<std::string>() + ":";
  if (!message.contains("content") || message["content"].is_null()) {
    return text + "\n";
  }
  if (message["content"].is_string()) {
    return text + message["content"].get<std::string>() + "\n";
  }
  return message["content"].is_array() ? std::optional{text + message["content"].dump() + "\n"}
                                       : std::nullopt;
}

auto prefix_hashes_of(const std::string& prompt) -> std::vector<std::uint64_t> {
  auto hashes = std::vector<std::uint64_t>{};
  auto block = static_cast<std::size_t>(upstream_table::block_tokens) * bytes_per_token;
  auto running = std::uint64_t{0};
  for (auto offset = std::size_t{0}; offset + block <= prompt.size() && hashes.size() < max_prefix_hashes;
       offset += block) {
    running = hash_of(std::string_view{prompt}.substr(offset, block), running);
    hashes.push_back(running);
  }
  return hashes;
}

auto read_extension(const json& body) -> result<json> {
  if (!body.contains("birchlever")) {
    return json::object();
  }
  if (!body["birchlever"].is_object()) {
    return type_error("birchlever must be an object");
  }
  return body["birchlever"];
}

}  // namespace

parse_filter::parse_filter(const daemon_settings& settings)
    : max_body_bytes_{settings.max_body_bytes_},
      call_limit_{settings.call_limit_ms_},
      data_hall_{settings.data_hall_} {}

auto parse_filter::apply(request_context& context) -> filter_result {
  if (context.body_.size() > static_cast<std::size_t>(max_body_bytes_)) {
    return refuse(context, {error_code::body_too_large,
                            "request body exceeds " + std::to_string(max_body_bytes_) + " bytes"});
  }
  auto parsed = context.open_.service_.empty() ? parse_chat(context) : parse_service(context);
  if (!ok(parsed)) {
    return refuse(context, failure(parsed));
  }
  context.open_.data_hall_ = data_hall_;
  context.open_.request_id_ = random_id();
  return filter_result::proceed;
}

auto parse_filter::parse_identity(request_context& context) const -> status {
  auto body = json::parse(context.body_, nullptr, false);
  auto extension = body.is_object() ? read_extension(body) : result<json>{json::object()};
  if (!ok(extension)) {
    return failure(extension);
  }
  auto& order = context.open_.order_;
  order.program_ = context.header("birchlever-program");
  if (order.program_.empty() && value(extension).contains("program")) {
    if (!value(extension)["program"].is_string()) {
      return type_error("birchlever.program must be a string");
    }
    order.program_ = value(extension)["program"].get<std::string>();
  }
  auto is_invalid = [](unsigned char character) {
    return character <= ' ' || character == '/' || character == 127;
  };
  if (order.program_.size() > max_name_bytes ||
      std::any_of(order.program_.begin(), order.program_.end(), is_invalid)) {
    return type_error("program must be at most 128 characters without control characters, spaces or slashes");
  }
  auto service = !context.open_.service_.empty();
  auto call = read_number(context, value(extension), "call", 0, 1);
  auto parent = read_number(context, value(extension), "parent", 0, 0);
  auto budget = read_number(context, value(extension), "budget", 0, 1);
  auto deadline = read_number(context, value(extension), "deadline-ms", call_limit_, 1);
  auto repeatable = read_flag(context, value(extension), "repeatable", !service);
  auto last = read_flag(context, value(extension), "last", false);
  for (const auto* number : {&call, &parent, &budget, &deadline}) {
    if (!ok(*number)) {
      return failure(*number);
    }
  }
  for (const auto* flag : {&repeatable, &last}) {
    if (!ok(*flag)) {
      return failure(*flag);
    }
  }
  if (!order.program_.empty() && value(call) == 0) {
    return error{error_code::missing_field,
                 "a call of a program requires its number in header birchlever-call"};
  }
  order.ephemeral_ = order.program_.empty() && value(repeatable);
  if (order.program_.empty()) {
    order.program_ = "single-" + random_id();
  }
  order.number_ = static_cast<std::int32_t>(std::max<std::int64_t>(1, value(call)));
  order.parent_ = static_cast<std::int32_t>(value(parent));
  order.budget_ = value(budget);
  order.deadline_ = value(deadline);
  order.repeatable_ = value(repeatable);
  context.last_ = value(last) || order.program_.compare(0, 7, "single-") == 0;
  return success;
}

auto parse_filter::parse_chat(request_context& context) const -> status {
  auto body = json::parse(context.body_, nullptr, false);
  if (body.is_discarded()) {
    return error{error_code::malformed_json, "request body is not valid JSON"};
  }
  if (!body.is_object()) {
    return type_error("request body must be a JSON object");
  }
  if (!body.contains("model") || !body.contains("messages")) {
    return error{error_code::missing_field, "model and messages are required"};
  }
  if (!body["model"].is_string()) {
    return type_error("model must be a string");
  }
  if (!body["messages"].is_array() || body["messages"].empty()) {
    return type_error("messages must be a non-empty array");
  }
  auto prompt = std::string{};
  for (const auto& message : body["messages"]) {
    auto text = message_text(message);
    if (!text) {
      return type_error("each message requires a role, and a string or array as content");
    }
    prompt += *text;
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return type_error("stream must be true or false");
  }
  auto& order = context.open_.order_;
  if (body.contains("max_tokens") && !body["max_tokens"].is_null()) {
    const auto& max_tokens = body["max_tokens"];
    if (!max_tokens.is_number_integer() || max_tokens.get<std::int64_t>() < 1 ||
        max_tokens.get<std::int64_t>() > max_number) {
      return type_error("max_tokens must be an integer of at least 1");
    }
    order.max_tokens_ = max_tokens.get<std::int64_t>();
  }
  auto identity = parse_identity(context);
  if (!ok(identity)) {
    return identity;
  }
  context.stream_ = body.value("stream", false);
  context.open_.model_ = body["model"].get<std::string>();
  context.open_.prefix_hashes_ = prefix_hashes_of(prompt);
  order.prompt_tokens_ = static_cast<std::int64_t>(prompt.size() / bytes_per_token + 1);
  order.digest_ = hash_of(context.open_.model_ + "\n" + std::to_string(order.max_tokens_) + "\n" + prompt);
  body.erase("birchlever");
  body["stream"] = true;
  context.upstream_body_ = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return success;
}

auto parse_filter::parse_service(request_context& context) const -> status {
  auto identity = parse_identity(context);
  if (!ok(identity)) {
    return identity;
  }
  auto& order = context.open_.order_;
  order.generates_ = false;
  order.digest_ = hash_of(context.open_.service_ + "\n" + context.service_path_ + "\n" + context.body_);
  context.upstream_body_ = context.body_;
  return success;
}

}  // namespace birchlever
