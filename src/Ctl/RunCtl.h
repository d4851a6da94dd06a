#pragma once

#include <ostream>

namespace fescueline {

/// Runs the operator command line, `ctl --node URL --credential-file F
/// COMMAND`, and returns its exit code (CtlExit). aArguments[0] is the program
/// name.
int RunCtl(int aCount, char** aArguments);

/// Runs the operator command line and writes its results and errors to the
/// given streams.
int RunCtl(int aCount, const char* const* aArguments, std::ostream& aOutput,
           std::ostream& aErrors);

}  // namespace fescueline
