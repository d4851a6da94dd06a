#pragma once

#include <ostream>

namespace fescueline {

/// The operators' command line: `ctl --node URL --credential-file F COMMAND`.
/// aArguments[0] is the program's name. Returns the exit code, see CtlExit.
int RunCtl(int aCount, char** aArguments);

/// The same with streams for the results and the refusals.
int RunCtl(int aCount, const char* const* aArguments, std::ostream& aOutput,
           std::ostream& aErrors);

}  // namespace fescueline
