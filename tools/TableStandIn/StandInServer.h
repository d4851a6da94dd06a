#pragma once

#include <cstdint>
#include <string>

namespace fescueline {

/// Options of the stand-in's server.
struct StandInServerOptions {
  std::string address;
  /// 0 picks a free port.
  uint16_t port = 0;
  /// Whether the server also stops when its standard input is closed, so that
  /// it does not outlive the test that started it.
  bool exitWithStdin = false;
};

/// Serves the stand-in over HTTP on the calling thread until SIGTERM or
/// SIGINT. Prints "listening ADDRESS:PORT" once it accepts connections.
void RunStandInServer(const StandInServerOptions& aOptions);

}  // namespace fescueline
