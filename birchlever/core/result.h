/// A value or a typed error, as a std::variant with short accessors.
#pragma once

#include <cassert>
#include <utility>
#include <variant>

#include "birchlever/core/error.h"

namespace birchlever {

/// Either a T or the reason there is none.
template <class T>
using result = std::variant<T, error>;

/// The outcome of an action that yields nothing but success.
using status = result<std::monostate>;

/// Success of an action that yields nothing.
inline constexpr auto success = std::monostate{};

/// True when the result holds a value.
template <class T>
[[nodiscard]] auto ok(const result<T>& outcome) -> bool {
  return outcome.index() == 0;
}

/// The value of a successful result.
template <class T>
[[nodiscard]] auto value(result<T>& outcome) -> T& {
  assert(ok(outcome));
  return std::get<0>(outcome);
}

/// The value of a successful result.
template <class T>
[[nodiscard]] auto value(const result<T>& outcome) -> const T& {
  assert(ok(outcome));
  return std::get<0>(outcome);
}

/// The value of a successful result, moved out.
template <class T>
[[nodiscard]] auto value(result<T>&& outcome) -> T {
  assert(ok(outcome));
  return std::move(std::get<0>(outcome));
}

/// The error of a failed result.
template <class T>
[[nodiscard]] auto failure(const result<T>& outcome) -> const error& {
  assert(!ok(outcome));
  return std::get<1>(outcome);
}

}  // namespace birchlever
