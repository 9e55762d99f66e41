#include "fleet_model/upstream_model.h"

#include <algorithm>
#include <utility>

namespace birchlever::model {
namespace {

auto tokens_of(const std::vector<prompt_part>& parts) -> double {
  auto total = 0.0;
  for (const auto& part : parts) {
    total += static_cast<double>(part.tokens_);
  }
  return total;
}

}  // namespace

auto engine_model::submit(model_request request) -> void {
  if (static_cast<int>(waiting_.size()) >= settings_.queue_) {
    request.on_refused_();
    return;
  }
  ++taken_;
  auto less_urgent = [&](const model_request& one) { return one.urgency_ > request.urgency_; };
  auto place = std::find_if(waiting_.begin(), waiting_.end(), less_urgent);
  waiting_.insert(place, std::move(request));
  if (!std::exchange(stepping_, true)) {
    events_->after(settings_.setup_ms_, [this] { step(); });
  }
}

auto engine_model::admit() -> void {
  while (!waiting_.empty() && static_cast<int>(running_.size()) < settings_.slots_) {
    auto& next = waiting_.front();
    if (next.due_ms_ <= events_->now_ms()) {
      auto refused = std::move(next.on_refused_);
      waiting_.pop_front();
      refused();
      continue;
    }
    auto prompt = tokens_of(next.parts_);
    auto memory = prompt + next.output_tokens_;
    if (memory_ + memory > settings_.tokens_ && !running_.empty()) {
      return;
    }
    auto begun = running_request{std::move(next)};
    waiting_.pop_front();
    begun.unread_ = prompt - static_cast<double>(kept_.cached_prefix_tokens(begun.request_.parts_));
    begun.left_ = begun.request_.output_tokens_;
    begun.memory_ = memory;
    memory_ += memory;
    running_.push_back(std::move(begun));
  }
}

auto engine_model::step() -> void {
  admit();
  if (running_.empty()) {
    stepping_ = !waiting_.empty();
    if (stepping_) {
      events_->after(settings_.step_ms_, [this] { step(); });
    }
    return;
  }
  auto unread = 0.0;
  for (const auto& one : running_) {
    unread += one.unread_;
  }
  auto read = std::min(unread, settings_.chunk_);
  auto streams = static_cast<double>(running_.size());
  auto took =
      settings_.step_ms_ + settings_.step_stream_ms_ * (streams - 1) + read / settings_.prefill_per_ms_;
  events_->after(took / speed_, [this, read] {
    advance(read);
    step();
  });
}

auto engine_model::advance(double read) -> void {
  auto done = std::vector<std::function<void()>>{};
  for (auto next = running_.begin(); next != running_.end();) {
    if (next->unread_ > 0) {
      auto now = std::min(read, next->unread_);
      next->unread_ -= now;
      read -= now;
      ++next;
      continue;
    }
    if (!std::exchange(next->begun_, true)) {
      done.push_back(next->request_.on_first_);
    }
    if (next->request_.on_token_) {
      done.push_back(next->request_.on_token_);
    }
    if (--next->left_ > 0) {
      ++next;
      continue;
    }
    memory_ -= next->memory_;
    kept_.set_capacity(static_cast<std::int64_t>(settings_.tokens_ - memory_));
    kept_.record_use(next->request_.parts_);
    done.push_back(std::move(next->request_.on_done_));
    next = running_.erase(next);
  }
  for (const auto& tell : done) {
    tell();
  }
}

auto engine_model::expected_ms(const model_request& request) const -> double {
  auto streams = static_cast<double>(running_.size());
  auto unread = tokens_of(request.parts_) - static_cast<double>(kept_.cached_prefix_tokens(request.parts_));
  for (const auto& one : running_) {
    unread += one.unread_;
  }
  auto step = settings_.step_ms_ + settings_.step_stream_ms_ * streams;
  auto run = (unread / settings_.prefill_per_ms_ + (request.output_tokens_ + 1) * step) / speed_;
  auto slots = static_cast<double>(settings_.slots_);
  auto excess = std::max(0.0, streams + static_cast<double>(waiting_.size()) + 1 - slots);
  return settings_.setup_ms_ + run * (1 + excess / slots);
}

auto service_model::expected_ms(const model_request& request) const -> double {
  auto excess = std::max(0, running_ + static_cast<int>(waiting_.size()) + 1 - slots_);
  return request.work_ms_ / speed_ * (1 + static_cast<double>(excess) / slots_);
}

auto service_model::submit(model_request request) -> void {
  if (running_ < slots_) {
    ++taken_;
    begin(std::move(request));
  } else if (static_cast<int>(waiting_.size()) < queue_) {
    ++taken_;
    waiting_.push_back(std::move(request));
  } else {
    request.on_refused_();
  }
}

auto service_model::begin(model_request request) -> void {
  ++running_;
  auto work_ms = request.work_ms_ / speed_;
  events_->after(work_ms, [this, request = std::move(request)] {
    --running_;
    request.on_first_();
    request.on_done_();
    if (!waiting_.empty()) {
      auto next = std::move(waiting_.front());
      waiting_.pop_front();
      begin(std::move(next));
    }
  });
}

}  // namespace birchlever::model
