#include "birchlever/core/bounded_json.h"

#include <vector>

namespace birchlever {
namespace {

using json = nlohmann::json;

/// Builds a value from the events of the parser, which stops when one yields false.
class json_builder final : public nlohmann::json_sax<json> {
 public:
  auto null() -> bool override { return add(nullptr) != nullptr; }
  auto boolean(bool content) -> bool override { return add(content) != nullptr; }
  auto number_integer(number_integer_t content) -> bool override { return add(content) != nullptr; }
  auto number_unsigned(number_unsigned_t content) -> bool override { return add(content) != nullptr; }
  auto number_float(number_float_t content, const string_t& /*text*/) -> bool override {
    return add(content) != nullptr;
  }
  auto string(string_t& content) -> bool override { return add(std::move(content)) != nullptr; }
  auto binary(binary_t& content) -> bool override { return add(std::move(content)) != nullptr; }
  auto key(string_t& name) -> bool override {
    key_ = std::move(name);
    return true;
  }
  auto start_object(std::size_t /*elements*/) -> bool override { return open(json::object()); }
  auto start_array(std::size_t /*elements*/) -> bool override { return open(json::array()); }
  auto end_object() -> bool override { return close(); }
  auto end_array() -> bool override { return close(); }
  auto parse_error(std::size_t /*position*/, const std::string& /*token*/, const json::exception& fault)
      -> bool override {
    reason_ = fault.what();
    return false;
  }

  json root_;
  std::string reason_ = "nested too deeply";

 private:
  auto add(json content) -> json* {
    if (open_.empty()) {
      root_ = std::move(content);
      return &root_;
    }
    auto& parent = *open_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(content));
      return &parent.back();
    }
    auto& place = parent[key_];
    place = std::move(content);
    return &place;
  }

  auto open(json container) -> bool {
    if (open_.size() >= max_nesting) {
      return false;
    }
    open_.push_back(add(std::move(container)));
    return true;
  }

  auto close() -> bool {
    open_.pop_back();
    return true;
  }

  std::vector<json*> open_;  ///< Containers whose end has not come; none grows while one within it is open.
  std::string key_;
};

auto parse(std::string_view bytes, json::input_format_t format) -> result<json> {
  auto builder = json_builder{};
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, format)) {
    return error{error_code::malformed_json, builder.reason_};
  }
  return std::move(builder.root_);
}

}  // namespace

auto parse_json(std::string_view text) -> result<json> {
  return parse(text, json::input_format_t::json);
}

auto parse_cbor(std::string_view bytes) -> result<json> {
  return parse(bytes, json::input_format_t::cbor);
}

}  // namespace birchlever
