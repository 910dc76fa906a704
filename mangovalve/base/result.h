// Result<T, E>: a value or a typed error. Each layer has its own error type
// and converts the errors of the layer below.
#pragma once

#include <tl/expected.hpp>

namespace mangovalve {

template<typename T, typename E>
using Result = tl::expected<T, E>;

// Wraps an error for return from a function that returns Result.
template<typename E>
auto Err(E aError) -> tl::unexpected<E>
{
  return tl::unexpected<E>(std::move(aError));
}

} // namespace mangovalve
