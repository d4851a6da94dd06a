#include <CLI/CLI.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

#include "PathMeasurement.h"
#include "Settings/SocketAddress.h"

namespace {

asio::ip::tcp::endpoint EndpointOf(const std::string& aText) {
  const auto address = fescueline::SocketAddress::Parse(aText);
  if (!address) {
    throw CLI::ValidationError(aText, "ADDRESS:PORT is expected");
  }
  return {asio::ip::make_address(address->host), address->port};
}

}  // namespace

/// Measures what two nodes add to the latency of a target; see
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
  app.add_option("--node", node, "Callers' address of the entry node")
      ->required();
  app.add_option("--path", settings.path, "Path of the requests")->required();
  app.add_option("--key", settings.key, "Caller's key")->required();
  app.add_option("--pid", settings.nodePids,
                 "Process of a node; repeatable, the entry node first");
  app.add_option("--rate", rates, "Requests per second; repeatable");
  app.add_option("--seconds", seconds, "Load per rate on each way");
  app.add_option("--slices", settings.slices,
                 "Alternating slices that the load is divided into");
  app.add_option("--commit", commit, "Commit, for the results");
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
