/// What an upstream does with requests, as the platform's sheets describe it.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "birchlever/upstream/prompt_cache.h"
#include "fleet_model/event_queue.h"

namespace birchlever::model {

/// One request at an upstream.
struct model_request {
  std::vector<prompt_part> parts_;  ///< None for tools.
  double output_tokens_ = 0;
  double work_ms_ = 0;                ///< Of a tool.
  double due_ms_ = 0;                 ///< Not begun by then, it is refused.
  int urgency_ = 0;                   ///< An engine lets in the lowest first.
  std::function<void()> on_first_;    ///< The answer begins.
  std::function<void()> on_token_;    ///< Each token of a stream; may be empty.
  std::function<void()> on_done_;     ///< The answer is whole.
  std::function<void()> on_refused_;  ///< Surely not run.
};

/// Takes requests; answers through the event queue.
class upstream_model {
 public:
  virtual ~upstream_model() = default;

  /// A request arrives.
  virtual auto submit(model_request request) -> void = 0;

  /// Requests taken in so far.
  [[nodiscard]] virtual auto taken() const -> int = 0;

  /// Sets the speed relative to the settings. Applies to work that begins later.
  virtual auto set_speed(double speed) -> void = 0;

  /// Returns the time in ms that a request would take if it arrived now.
  [[nodiscard]] virtual auto expected_ms(const model_request& request) const -> double = 0;
};

/// How an engine is built.
struct engine_model_settings {
  int slots_ = 6;
  int queue_ = 18;
  double step_ms_ = 4.63;
  double step_stream_ms_ = 0.153;
  double prefill_per_ms_ = 37.9;
  double tokens_ = 71754;  ///< Memory for running requests and kept parts together.
  double chunk_ = 2048;    ///< Prompt tokens read in one step at most.
  double setup_ms_ = 5;    ///< From a request's arrival until it can be read.
};

/// A model engine: continuous batching, prompts read in pieces between the tokens of other streams, kept
/// parts that are not read again, memory that running requests and kept parts share. Not modelled:
/// preemption. A request waits until the memory holds its prompt and its answer.
class engine_model final : public upstream_model {
 public:
  engine_model(event_queue& events, const engine_model_settings& settings)
      : events_{&events}, settings_{settings} {}

  auto submit(model_request request) -> void override;
  [[nodiscard]] auto taken() const -> int override { return taken_; }
  auto set_speed(double speed) -> void override { speed_ = speed; }
  [[nodiscard]] auto expected_ms(const model_request& request) const -> double override;

 private:
  struct running_request {
    model_request request_;
    double unread_ = 0;  ///< Prompt tokens.
    double left_ = 0;    ///< Answer tokens.
    double memory_ = 0;
    bool begun_ = false;
  };

  auto admit() -> void;
  auto step() -> void;
  auto advance(double read) -> void;

  event_queue* events_;
  engine_model_settings settings_;
  std::list<model_request> waiting_;  ///< By urgency, then by arrival.
  std::list<running_request> running_;
  prompt_cache kept_;
  double memory_ = 0;  ///< Of running requests.
  bool stepping_ = false;
  int taken_ = 0;
  double speed_ = 1;
};

/// A plain service: places, and a queue in order of arrival.
class service_model final : public upstream_model {
 public:
  service_model(event_queue& events, int slots, int queue) : events_{&events}, slots_{slots}, queue_{queue} {}

  auto submit(model_request request) -> void override;
  [[nodiscard]] auto taken() const -> int override { return taken_; }
  auto set_speed(double speed) -> void override { speed_ = speed; }
  [[nodiscard]] auto expected_ms(const model_request& request) const -> double override;

 private:
  auto begin(model_request request) -> void;

  event_queue* events_;
  int slots_;
  int queue_;
  int running_ = 0;
  int taken_ = 0;
  double speed_ = 1;
  std::list<model_request> waiting_;
};

}  // namespace birchlever::model
