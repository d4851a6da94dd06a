#include <CLI/CLI.hpp>
#include <asio.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "Core/Error.h"
#include "Ctl/RunCtl.h"
#include "Log/Log.h"
#include "MakeBindings.h"
#include "Mesh/MeshNode.h"
#include "Mesh/MeshReloader.h"
#include "Node/Node.h"
#include "Settings/SettingsLoader.h"
#include "Transport/EventLoop.h"

namespace {

constexpr int kExitRefused = 1;
constexpr int kExitAborted = 2;

/// Blocks the stop signals in all threads, so that the main thread can wait
/// for them, and ignores SIGPIPE.
sigset_t BlockStopSignals() {
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return stops;
}

int RunNode(const std::string& aSettingsFile) {
  const sigset_t stops = BlockStopSignals();
  fescueline::Node node(fescueline::SettingsLoader().Load(aSettingsFile));
  node.Start();
  int signal = 0;
  sigwait(&stops, &signal);
  return node.Stop() ? 0 : kExitAborted;
}

/// Settings file of a mesh node: the argument, or the file that
/// FESCUELINE_CONFIG names.
std::string MeshSettingsFile(const std::string& aArgument) {
  if (!aArgument.empty()) {
    return aArgument;
  }
  const char* named = std::getenv("FESCUELINE_CONFIG");
  if (named == nullptr) {
    throw fescueline::Error("settings.load", "",
                            "neither --settings nor FESCUELINE_CONFIG is set");
  }
  return named;
}

int RunMesh(const std::string& aArgument) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string file = MeshSettingsFile(aArgument);
  const fescueline::MeshSettings settings = fescueline::LoadMeshSettings(file);
  asio::io_context io(1);
  fescueline::MeshNode node(io, settings,
                            fescueline::platform::MakeBindings(io, settings));
  asio::signal_set stops(io, SIGTERM, SIGINT);
  stops.async_wait([&node](const asio::error_code& aError, int) {
    if (!aError) {
      node.Stop();
    }
  });
  fescueline::MeshReloader reloader(io, file, node);
  reloader.Start();
  node.Start();
  fescueline::RunEventLoop(
      io, [&node](const std::exception&) { node.OnHandlerFailure(); });
  return 0;
}

}  // namespace

int main(int aCount, char** aArguments) {
  CLI::App app("Overload control layer for service call graphs.", "fescueline");
  app.require_subcommand(1);
  app.footer("Documentation: README.md and docs/ in the source tree.");
  std::string settingsFile;
  auto* node = app.add_subcommand("node", "Run the node beside a target");
  node->add_option("--settings", settingsFile,
                   "YAML file; docs/settings.md lists the keys")
      ->type_name("FILE")
      ->required();
  node->footer(
      "SIGTERM or SIGINT stops the node after the requests in flight. Exit "
      "codes: 0 stopped,\n1 the settings or a listener are refused, 2 stopped "
      "with requests aborted at the drain deadline.");
  std::string meshFile;
  auto* mesh = app.add_subcommand(
      "mesh", "Run the node beside a target of the users' platform");
  mesh->add_option("--settings", meshFile,
                   "YAML file; docs/platform.md lists the keys. Default: the "
                   "file that FESCUELINE_CONFIG names")
      ->type_name("FILE");
  mesh->footer(
      "SIGTERM or SIGINT stops the node after the requests in flight, SIGHUP "
      "rereads the settings.\nExit codes: 0 stopped, 1 the settings or a "
      "listener are refused.");
  std::string checkedFile;
  auto* check = app.add_subcommand(
      "check", "Check a settings file without running a node");
  check->add_option("FILE", checkedFile, "Settings file")
      ->type_name("PATH")
      ->required();
  check->footer(
      "Prints every mistake with its line. Exit codes: 0 valid, 1 not.");
  app.add_subcommand("ctl", "Change and show the configuration of a fleet")
      ->prefix_command()
      // RunCtl answers --help, as it knows the commands.
      ->set_help_flag();
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitRefused;
  }
  try {
    if (node->parsed()) {
      return RunNode(settingsFile);
    }
    if (mesh->parsed()) {
      return RunMesh(meshFile);
    }
    if (check->parsed()) {
      return fescueline::CheckSettings(checkedFile, std::cout);
    }
    return fescueline::RunCtl(aCount - 1, aArguments + 1);
  } catch (const std::exception& failure) {
    std::cerr << "fescueline: " << failure.what() << '\n';
    return kExitRefused;
  }
}
