// Property tests with a fixed seed, so that a run has the same verdict every
// time. For test files only.
#pragma once

#include <iostream>
#include <utility>

#include <rapidcheck.h>

namespace mangovalve {

// Checks a rapidcheck property on aRuns generated inputs; prints the smallest
// input that fails.
template<typename Property>
auto CheckSeeded(std::uint64_t aSeed, int aRuns, Property&& aProperty) -> bool
{
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = aRuns;
  const auto result = rc::detail::checkTestable(
    std::forward<Property>(aProperty), rc::detail::TestMetadata(), params);
  if (result.template is<rc::detail::SuccessResult>()) {
    return true;
  }
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << std::endl;
  return false;
}

} // namespace mangovalve
