#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "PathMeasurement.h"
#include "Settings/SocketAddress.h"

namespace {

asio::ip::tcp::endpoint EndpointOf(const std::string& aText) {
  const auto address = fescueline::SocketAddress::Parse(aText);
  if (!address) {
    throw CLI::ValidationError(aText, "expected ADDRESS:PORT");
  }
  return {asio::ip::make_address(address->host), address->port};
}

}  // namespace

/// Measures the latency that two nodes add to that of a target; see
/// scripts/measure-path.sh.
int main(int aCount, char** aArguments) {
  CLI::App app("Open-loop load on a target, directly and through two nodes.");
  std::string direct;
  std::string node;
  std::string commit;
  std::vector<double> rates = {100, 500, 1000, 2000, 4000};
  double seconds = 5;
  fescueline::PathMeasurement::Settings settings;
  app.add_option("--direct", direct, "Address of the target")->required();
  app.add_option("--node", node, "Address of the entry node's callers listener")
      ->required();
  app.add_option("--path", settings.path, "Path of the requests")->required();
  app.add_option("--key", settings.key, "Caller's key")->required();
  app.add_option("--pid", settings.nodePids,
                 "Process id of a node, the entry node first; may be repeated");
  app.add_option("--rate", rates, "Requests per second; may be repeated");
  app.add_option("--seconds", seconds,
                 "Duration of the load per rate and path");
  app.add_option("--slices", settings.slices,
                 "Number of alternating slices that the load is divided into");
  app.add_option("--commit", commit, "Commit to name in the results");
  CLI11_PARSE(app, aCount, aArguments);
  try {
    settings.direct = EndpointOf(direct);
    settings.node = EndpointOf(node);
    settings.length = std::chrono::duration_cast<fescueline::Duration>(
        std::chrono::duration<double>(seconds));
    fescueline::PathMeasurement measurement(settings);
    nlohmann::json results = nlohmann::json::array();
    for (const double rate : rates) {
      results.push_back(measurement.Measure(rate));
      std::cerr << "rate " << rate << ": added "
                << results.back()["added"].dump() << ", per core-second "
                << results.back()["requests_per_core_second"].dump() << '\n';
    }
    std::cout << nlohmann::json{{"commit", commit}, {"results", results}}.dump(
                     2)
              << '\n';
    return 0;
  } catch (const std::exception& failure) {
    std::cerr << "path load: " << failure.what() << '\n';
    return 1;
  }
}
