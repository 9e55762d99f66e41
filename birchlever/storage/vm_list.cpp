#include "birchlever/storage/vm_list.h"

#include <array>
#include <nlohmann/json.hpp>

namespace birchlever {
namespace {

constexpr auto kind_names = std::array<std::string_view, 3>{"daemon", "engine", "service"};

auto parse_kind(const std::string& name) -> vm_kind {
  for (auto index = std::size_t{0}; index < kind_names.size(); ++index) {
    if (kind_names.at(index) == name) {
      return static_cast<vm_kind>(index);
    }
  }
  return vm_kind::engine;
}

auto entry_from_json(const nlohmann::json& body) -> vm_entry {
  auto entry = vm_entry{};
  entry.id_ = body.at("id");
  entry.kind_ = parse_kind(body.at("kind"));
  entry.address_ = {body.at("host"), body.at("port")};
  entry.data_hall_ = body.value("data_hall", "");
  entry.leaving_ = body.value("leaving", false);
  entry.checks_fence_ = body.value("checks_fence", true);
  entry.service_ = body.value("service", "");
  entry.models_ = body.value("models", std::vector<std::string>{});
  entry.role_ = body.value("role", "both");
  return entry;
}

}  // namespace

auto name_of(vm_kind kind) -> std::string_view {
  return kind_names.at(static_cast<std::size_t>(kind));
}

auto vm_list::create(const std::string& address, const http_pool_settings& settings)
    -> result<std::shared_ptr<vm_list>> {
  auto target = parse_endpoint(address);
  if (!ok(target)) {
    return failure(target);
  }
  auto pool = http_connection_pool::create(settings, "vms");
  if (!ok(pool)) {
    return failure(pool);
  }
  return std::shared_ptr<vm_list>{new vm_list{value(target), value(pool)}};
}

vm_list::vm_list(endpoint target, std::shared_ptr<http_connection_pool> pool)
    : target_{std::move(target)}, pool_{std::move(pool)} {}

auto vm_list::fetch() -> result<std::vector<vm_entry>> {
  auto response = pool_->request(target_, "GET", "/vms", "");
  if (!ok(response) || value(response).status_ != 200) {
    return error{error_code::store_unavailable, "no response from the VM list"};
  }
  auto body = nlohmann::json::parse(value(response).body_, nullptr, false);
  try {
    auto entries = std::vector<vm_entry>{};
    for (const auto& entry : body.at("vms")) {
      entries.push_back(entry_from_json(entry));
    }
    return entries;
  } catch (const nlohmann::json::exception& exception) {
    return error{error_code::malformed_json, std::string{"malformed VM list: "} + exception.what()};
  }
}

}  // namespace birchlever
