/// One document agreed on by the whole fleet: changed by compare-and-set on its generation, never going back.
#pragma once

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "birchlever/core/clock.h"
#include "birchlever/core/result.h"
#include "birchlever/storage/table_store_interface.h"

namespace birchlever {

/// A generation of the document.
struct configuration_generation {
  std::int64_t generation_ = 0;
  std::string text_;
  std::string author_;
};

/// What one process knows of the document. Thread safe.
class versioned_configuration {
 public:
  /// A view that knows nothing yet. The bound says for how long a look at the store stays good, in ms.
  static auto create(std::shared_ptr<table_store_interface> store, std::shared_ptr<clock_interface> clock,
                     milliseconds bound) -> result<std::shared_ptr<versioned_configuration>>;

  /// The key of the row that holds the current generation.
  static auto row_key() -> std::string { return "control/configuration"; }

  /// Takes in the row as read by a look that began at the given time. The row only names the newest
  /// generation, so that looks stay small; its document is read once, from the generation's own row. True
  /// when the generation rose. While that read fails, the view is not fresh.
  auto observe(const std::optional<table_row>& row, milliseconds look_began) -> bool;

  /// Another process has seen this generation; true when it is newer than ours, so looking is worthwhile.
  auto record_seen(std::int64_t generation) -> bool;

  /// Proposes the document that follows the expected generation. A lost answer is resolved by reading the
  /// generation's own row. Failures: configuration_conflict (names the winner), store_unknown.
  auto propose(std::int64_t expected, const std::string& text, const std::string& author)
      -> result<std::int64_t>;

  /// The newest generation known; generation 0 before the first proposal.
  [[nodiscard]] auto current() const -> configuration_generation;

  /// The newest generation's number.
  [[nodiscard]] auto generation() const -> std::int64_t;

  /// True when a look at the store within the bound shows that what we know is in force.
  [[nodiscard]] auto is_up_to_date() const -> bool;

 private:
  versioned_configuration(std::shared_ptr<table_store_interface> store,
                          std::shared_ptr<clock_interface> clock, milliseconds bound);

  auto take(const configuration_generation& next, std::int64_t row_version) -> void;
  auto resolve(std::int64_t proposed, const std::string& write_id) -> result<std::int64_t>;
  auto conflict() -> error;

  std::shared_ptr<table_store_interface> store_;
  std::shared_ptr<clock_interface> clock_;
  milliseconds bound_ = 0;
  mutable std::mutex mutex_;
  configuration_generation current_;
  std::int64_t row_version_ = 0;
  std::int64_t heard_ = 0;
  std::optional<milliseconds> looked_at_;
};

}  // namespace birchlever
