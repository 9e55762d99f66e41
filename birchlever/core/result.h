/// A value or an error, as a std::variant with accessors.
#pragma once

#include <cassert>
#include <utility>
#include <variant>

#include "birchlever/core/error.h"

namespace birchlever {

/// Either a T or an error.
template <class T>
using result = std::variant<T, error>;

/// The result of an operation without a return value.
using status = result<std::monostate>;

/// The successful status.
inline constexpr auto success = std::monostate{};

/// Returns true if the result holds a value.
template <class T>
[[nodiscard]] auto ok(const result<T>& outcome) -> bool {
  return outcome.index() == 0;
}

/// Returns the value of a successful result.
template <class T>
[[nodiscard]] auto value(result<T>& outcome) -> T& {
  assert(ok(outcome));
  return std::get<0>(outcome);
}

/// Returns the value of a successful result.
template <class T>
[[nodiscard]] auto value(const result<T>& outcome) -> const T& {
  assert(ok(outcome));
  return std::get<0>(outcome);
}

/// Moves the value out of a successful result.
template <class T>
[[nodiscard]] auto value(result<T>&& outcome) -> T {
  assert(ok(outcome));
  return std::move(std::get<0>(outcome));
}

/// Returns the error of a failed result.
template <class T>
[[nodiscard]] auto failure(const result<T>& outcome) -> const error& {
  assert(!ok(outcome));
  return std::get<1>(outcome);
}

}  // namespace birchlever
