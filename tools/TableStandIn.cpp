#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <cstdio>
#include <exception>
#include <string>

#include "TableStandIn/StandInServer.h"

namespace {

/// Parses "ADDRESS:PORT" into aOptions. Returns false if it is malformed.
bool ParseListen(const std::string& aText,
                 fescueline::StandInServerOptions& aOptions) {
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  aOptions.address = aText.substr(0, colon);
  const char* const end = aText.data() + aText.size();
  const auto result =
      std::from_chars(aText.data() + colon + 1, end, aOptions.port);
  return result.ec == std::errc() && result.ptr == end;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform's table service and object store");
  std::string listen = "127.0.0.1:0";
  app.add_option("--listen", listen,
                 "Address and port; port 0 picks a free one");
  fescueline::StandInServerOptions options;
  app.add_flag("--exit-with-stdin", options.exitWithStdin,
               "Stop when the standard input is closed");
  CLI11_PARSE(app, argc, argv);
  if (!ParseListen(listen, options)) {
    fmt::print(stderr, "--listen {}: expected ADDRESS:PORT\n", listen);
    return 2;
  }
  try {
    fescueline::RunStandInServer(options);
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "stand-in.run ({}): {}\n", listen, error.what());
    return 1;
  }
}
