/// Base of test peers: they transfer nothing, witness nothing and know of no lease.
#pragma once

#include "birchlever/coordination/budget_peers.h"

namespace birchlever {

class idle_peers : public budget_peers {
 public:
  auto request_tokens(std::string /*program_key*/, std::vector<std::string> /*holders*/,
                      std::int64_t /*tokens*/) -> task<transferred_tokens> override {
    co_return transferred_tokens{};
  }
  auto request_lease(std::string /*program_key*/, std::string /*reservation*/, std::string /*holder*/)
      -> task<bool> override {
    co_return false;
  }
  auto choose_witness() -> std::optional<std::string> override { return std::nullopt; }
  auto record_lease_use(std::string /*lease*/, std::string /*witness*/, milliseconds /*keep_for*/)
      -> task<bool> override {
    co_return false;
  }
  auto inquire_lease(std::string /*program_key*/, std::string /*lease*/, std::string /*daemon*/,
                     milliseconds /*keep_for*/) -> task<lease_answer> override {
    co_return lease_answer{};
  }
  auto revoke_lease(std::string /*lease*/, std::string /*witness*/, milliseconds /*keep_for*/)
      -> task<lease_answer> override {
    co_return lease_answer{};
  }
  auto request_allowance(std::string /*program_key*/, std::int64_t /*tokens*/)
      -> task<std::int64_t> override {
    co_return 0;
  }
};

}  // namespace birchlever
