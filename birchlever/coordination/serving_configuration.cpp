#include "birchlever/coordination/serving_configuration.h"

#include <array>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

/// Returns the host without its port, in lower case.
auto normalized_host(std::string_view host) -> std::string {
  auto plain = std::string{host.substr(0, host.rfind(':'))};
  for (auto& character : plain) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return plain;
}

}  // namespace

auto name_of(route_kind kind) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 3>{"safe", "unsafe", "streaming"};
  return names.at(static_cast<std::size_t>(kind));
}

auto serving_configuration::find_route(std::string_view host, std::string_view path) const -> const route* {
  auto requested_host = normalized_host(host);
  auto path_without_query = path.substr(0, path.find('?'));
  const auto* best = static_cast<const route*>(nullptr);
  for (const auto& candidate : routes_) {
    auto matches = normalized_host(candidate.host_) == requested_host &&
                   path_without_query.substr(0, candidate.path_prefix_.size()) == candidate.path_prefix_;
    auto longer = best == nullptr || candidate.path_prefix_.size() > best->path_prefix_.size();
    if (matches && longer) {
      best = &candidate;
    }
  }
  return best;
}

auto serving_configuration::find_service(const std::string& name) const -> const service_description* {
  auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

auto service_for(const route& selected, std::string_view affinity_key) -> std::string {
  auto total = std::int64_t{0};
  for (const auto& entry : selected.services_) {
    total += entry.weight_;
  }
  if (total <= 0) {
    return selected.services_.empty() ? std::string{} : selected.services_.front().service_;
  }
  auto point = static_cast<std::int64_t>(hash_of(affinity_key, hash_of(selected.name_)) %
                                         static_cast<std::uint64_t>(total));
  for (const auto& entry : selected.services_) {
    point -= entry.weight_;
    if (point < 0) {
      return entry.service_;
    }
  }
  return selected.services_.back().service_;
}

}  // namespace birchlever
