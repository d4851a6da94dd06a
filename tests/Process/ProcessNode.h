#pragma once

#include <fmt/format.h>

#include <asio.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "Mesh/MeshSettings.h"
#include "Process/ChildProcess.h"

namespace fescueline::test {

/// A mesh node as a process of its own, whose log goes to
/// `node-<name>.log` in the working directory.
class ProcessNode {
 public:
  ProcessNode(asio::io_context& /*aIo*/, const MeshSettings& aSettings)
      : name(aSettings.node), log("node-" + aSettings.node + ".log") {
    std::filesystem::remove(this->log);
    const std::string file = "node-" + aSettings.node + ".yaml";
    std::ofstream(file) << Yaml(aSettings);
    this->process =
        ChildProcess("fescueline", {"mesh", "--settings", file}, this->log);
  }

  pid_t Pid() const { return this->process.Pid(); }
  /// Begins a planned stop of the process.
  void Stop() { this->process.Terminate(); }
  /// Waits for the exit code, like ChildProcess.
  int WaitExit(Duration aLimit) { return this->process.WaitExit(aLimit); }

  /// Whether its log says that it has a configuration and that the other nodes
  /// have joined.
  bool Serves(size_t aTargets) const {
    std::ifstream lines(this->log);
    const std::string own = fmt::format(R"("node":"{}")", this->name);
    size_t others = 0;
    bool configured = false;
    for (std::string line; std::getline(lines, line);) {
      // A node also logs its own row when it reads that row.
      const bool joined = Has(line, R"("event":"member joined")");
      others += joined && !Has(line, own) ? 1 : 0;
      configured =
          configured || Has(line, R"("event":"configuration in force")");
    }
    return configured && others + 1 >= aTargets;
  }

 private:
  static bool Has(const std::string& aLine, std::string_view aText) {
    return aLine.find(aText) != std::string::npos;
  }
  static std::string Yaml(const MeshSettings& aSettings) {
    return fmt::format(
        "node: {}\ndata_centre: {}\nregion: {}\nservice: {}\ntarget: {}\n"
        "listen:\n  callers: {}\n  peers: {}\n  ready: {}\n  reports: {}\n"
        "fleet_secret: {}\nstore: {}\nfreshness_limit: {}ms\n"
        "stop_limit: {}ms\nmemory_limit: {}\n",
        aSettings.node, aSettings.dataCentre, aSettings.region,
        aSettings.service, aSettings.target.ToString(),
        aSettings.listenCallers.ToString(), aSettings.listenPeers.ToString(),
        aSettings.listenReady.ToString(), aSettings.listenReports.ToString(),
        aSettings.fleetSecret, aSettings.store.ToString(),
        Milliseconds(aSettings.freshnessLimit),
        Milliseconds(aSettings.stopLimit), aSettings.memoryLimit);
  }
  static int64_t Milliseconds(Duration aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  }

  std::string name;
  std::string log;
  ChildProcess process;
};

}  // namespace fescueline::test
