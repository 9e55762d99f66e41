#include "birchlever/coordination/serving_configuration.h"

#include <array>

#include "birchlever/core/hashing.h"

namespace birchlever {
namespace {

/// A host without its port, in lower case.
auto plain_host(std::string_view host) -> std::string {
  auto plain = std::string{host.substr(0, host.rfind(':'))};
  for (auto& letter : plain) {
    letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return plain;
}

}  // namespace

auto name_of(route_kind kind) -> std::string_view {
  constexpr auto names = std::array<std::string_view, 3>{"safe", "unsafe", "streaming"};
  return names.at(static_cast<std::size_t>(kind));
}

auto serving_configuration::find_route(std::string_view host, std::string_view path) const -> const route* {
  auto wanted = plain_host(host);
  auto only_path = path.substr(0, path.find('?'));
  const auto* best = static_cast<const route*>(nullptr);
  for (const auto& one : routes_) {
    auto fits =
        plain_host(one.host_) == wanted && only_path.substr(0, one.path_prefix_.size()) == one.path_prefix_;
    auto longer = best == nullptr || one.path_prefix_.size() > best->path_prefix_.size();
    if (fits && longer) {
      best = &one;
    }
  }
  return best;
}

auto serving_configuration::find_service(const std::string& name) const -> const service_description* {
  auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

auto service_for(const route& wanted, std::string_view subject) -> std::string {
  auto total = std::int64_t{0};
  for (const auto& one : wanted.services_) {
    total += one.weight_;
  }
  if (total <= 0) {
    return wanted.services_.empty() ? std::string{} : wanted.services_.front().service_;
  }
  auto point =
      static_cast<std::int64_t>(hash_of(subject, hash_of(wanted.name_)) % static_cast<std::uint64_t>(total));
  for (const auto& one : wanted.services_) {
    point -= one.weight_;
    if (point < 0) {
      return one.service_;
    }
  }
  return wanted.services_.back().service_;
}

}  // namespace birchlever
