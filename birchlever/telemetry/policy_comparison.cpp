#include "birchlever/telemetry/policy_comparison.h"

namespace birchlever {
namespace {

constexpr auto most_samples = std::size_t{4096};

}  // namespace

auto policy_comparison::program_ended(const std::string& policy, double latency_ms) -> void {
  auto lock = std::lock_guard{mutex_};
  auto& record = records_[policy];
  if (record.latencies_ms_.size() < most_samples) {
    record.latencies_ms_.push_back(latency_ms);
  } else {
    record.latencies_ms_[static_cast<std::size_t>(record.programs_) % most_samples] = latency_ms;
  }
  ++record.programs_;
}

auto policy_comparison::records() const -> std::map<std::string, policy_record> {
  auto lock = std::lock_guard{mutex_};
  return records_;
}

}  // namespace birchlever
