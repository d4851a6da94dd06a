#pragma once

#include <rapidcheck.h>

#include <iostream>
#include <utility>

namespace fescueline {

/// Runs a property with aCases generated cases instead of rapidcheck's 100 and
/// prints the failing case, if any. A seed in RC_PARAMS is respected.
template <typename Testable>
bool HoldsFor(int aCases, Testable&& aProperty) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = aCases;
  const rc::detail::TestResult result = rc::detail::checkTestable(
      std::forward<Testable>(aProperty), rc::detail::TestMetadata(), params);
  rc::detail::SuccessResult success;
  if (result.match(success)) {
    return true;
  }
  rc::detail::printResultMessage(result, std::cerr);
  std::cerr << "\nseed=" << params.seed << "\n";
  return false;
}

}  // namespace fescueline
