#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "TableStandIn/StandInServer.h"

namespace {

/// Splits "ADDRESS:PORT"; nothing if it is malformed.
std::optional<std::pair<std::string, uint16_t>> ParseListen(
    const std::string& aText) {
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const char* const end = aText.data() + aText.size();
  uint16_t port = 0;
  const auto result = std::from_chars(aText.data() + colon + 1, end, port);
  if (result.ec != std::errc() || result.ptr != end) {
    return std::nullopt;
  }
  return std::make_pair(aText.substr(0, colon), port);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform's table service and object store");
  std::string listen = "127.0.0.1:0";
  app.add_option("--listen", listen, "Address and port; port 0 picks one");
  CLI11_PARSE(app, argc, argv);
  const auto endpoint = ParseListen(listen);
  if (!endpoint.has_value()) {
    fmt::print(stderr, "--listen {}: ADDRESS:PORT is expected\n", listen);
    return 2;
  }
  try {
    fescueline::RunStandInServer(endpoint->first, endpoint->second);
    return 0;
  } catch (const std::exception& error) {
    fmt::print(stderr, "stand-in.run ({}): {}\n", listen, error.what());
    return 1;
  }
}
