#pragma once

#include <cstdint>
#include <string>

namespace fescueline {

/// Serves the stand-in over HTTP on the calling thread until SIGTERM or
/// SIGINT. Prints "listening ADDRESS:PORT" once it accepts connections; port 0
/// picks a free one.
void RunStandInServer(const std::string& aAddress, uint16_t aPort);

}  // namespace fescueline
