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
constexpr auto most_prefix_hashes = std::size_t{64};
constexpr auto longest_name = std::size_t{128};
constexpr auto most_number = std::int64_t{1} << 40;

auto wrong(const std::string& detail) -> error {
  return error{error_code::wrong_type, detail};
}

/// A whole number from a header, then from the body's birchlever object; the default when neither has it.
auto read_number(const request_context& context, const json& extra, const std::string& name,
                 std::int64_t standard, std::int64_t least) -> result<std::int64_t> {
  auto header = context.header("birchlever-" + name);
  if (!header.empty()) {
    auto digits = header.size() <= 12 && header.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || std::stoll(header) < least) {
      return wrong("header birchlever-" + name + " must be a whole number from " + std::to_string(least));
    }
    return std::stoll(header);
  }
  auto key = name;
  std::replace(key.begin(), key.end(), '-', '_');
  if (!extra.contains(key)) {
    return standard;
  }
  const auto& field = extra[key];
  auto fits = field.is_number_integer() && field.get<std::int64_t>() >= least &&
              field.get<std::int64_t>() <= most_number;
  if (!fits) {
    return wrong("birchlever." + key + " must be a whole number from " + std::to_string(least));
  }
  return field.get<std::int64_t>();
}

auto read_flag(const request_context& context, const json& extra, const std::string& name, bool standard)
    -> result<bool> {
  auto header = context.header("birchlever-" + name);
  if (!header.empty()) {
    if (header != "yes" && header != "no") {
      return wrong("header birchlever-" + name + " must be yes or no");
    }
    return header == "yes";
  }
  if (!extra.contains(name)) {
    return standard;
  }
  if (!extra[name].is_boolean()) {
    return wrong("birchlever." + name + " must be true or false");
  }
  return extra[name].get<bool>();
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
  for (auto offset = std::size_t{0}; offset + block <= prompt.size() && hashes.size() < most_prefix_hashes;
       offset += block) {
    running = hash_of(std::string_view{prompt}.substr(offset, block), running);
    hashes.push_back(running);
  }
  return hashes;
}

auto extra_of(const json& body) -> result<json> {
  if (!body.contains("birchlever")) {
    return json::object();
  }
  if (!body["birchlever"].is_object()) {
    return wrong("birchlever must be an object");
  }
  return body["birchlever"];
}

}  // namespace

parse_filter::parse_filter(const daemon_settings& settings)
    : max_body_bytes_{settings.max_body_bytes_},
      call_limit_{settings.call_limit_ms_},
      data_hall_{settings.data_hall_} {}

auto parse_filter::apply(request_context& context) -> filter_verdict {
  if (context.body_.size() > static_cast<std::size_t>(max_body_bytes_)) {
    return refuse(context, {error_code::body_too_large,
                            "the body is longer than " + std::to_string(max_body_bytes_) + " bytes"});
  }
  auto parsed = context.open_.service_.empty() ? parse_chat(context) : parse_service(context);
  if (!ok(parsed)) {
    return refuse(context, failure(parsed));
  }
  context.open_.data_hall_ = data_hall_;
  context.open_.request_id_ = random_id();
  return filter_verdict::go_on;
}

auto parse_filter::parse_identity(request_context& context) const -> status {
  auto body = json::parse(context.body_, nullptr, false);
  auto extra = body.is_object() ? extra_of(body) : result<json>{json::object()};
  if (!ok(extra)) {
    return failure(extra);
  }
  auto& order = context.open_.order_;
  order.program_ = context.header("birchlever-program");
  if (order.program_.empty() && value(extra).contains("program")) {
    if (!value(extra)["program"].is_string()) {
      return wrong("birchlever.program must be a string");
    }
    order.program_ = value(extra)["program"].get<std::string>();
  }
  auto odd = [](unsigned char letter) { return letter <= ' ' || letter == '/' || letter == 127; };
  if (order.program_.size() > longest_name ||
      std::any_of(order.program_.begin(), order.program_.end(), odd)) {
    return wrong("program must be up to 128 characters without spaces or slashes");
  }
  auto service = !context.open_.service_.empty();
  auto call = read_number(context, value(extra), "call", 0, 1);
  auto parent = read_number(context, value(extra), "parent", 0, 0);
  auto budget = read_number(context, value(extra), "budget", 0, 1);
  auto deadline = read_number(context, value(extra), "deadline-ms", call_limit_, 1);
  auto repeatable = read_flag(context, value(extra), "repeatable", !service);
  auto last = read_flag(context, value(extra), "last", false);
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
    return error{error_code::missing_field, "a call of a program needs its number: header birchlever-call"};
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
    return error{error_code::malformed_json, "the body is not JSON"};
  }
  if (!body.is_object()) {
    return wrong("the body must be an object");
  }
  if (!body.contains("model") || !body.contains("messages")) {
    return error{error_code::missing_field, "model and messages are needed"};
  }
  if (!body["model"].is_string()) {
    return wrong("model must be a string");
  }
  if (!body["messages"].is_array() || body["messages"].empty()) {
    return wrong("messages must be a list with at least one message");
  }
  auto prompt = std::string{};
  for (const auto& message : body["messages"]) {
    auto text = message_text(message);
    if (!text) {
      return wrong("each message needs a role and a text or list as content");
    }
    prompt += *text;
  }
  if (body.contains("stream") && !body["stream"].is_boolean()) {
    return wrong("stream must be true or false");
  }
  auto& order = context.open_.order_;
  if (body.contains("max_tokens") && !body["max_tokens"].is_null()) {
    const auto& most = body["max_tokens"];
    if (!most.is_number_integer() || most.get<std::int64_t>() < 1 || most.get<std::int64_t>() > most_number) {
      return wrong("max_tokens must be a whole number from 1");
    }
    order.max_tokens_ = most.get<std::int64_t>();
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
