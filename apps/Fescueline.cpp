#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "Ctl/RunCtl.h"
#include "Node/Log.h"
#include "Node/Node.h"
#include "Settings/SettingsLoader.h"

namespace {

constexpr int kExitRefused = 1;
constexpr int kExitCutOff = 2;

/// Blocks the stop signals in all threads, so that the main thread can wait
/// for them.
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
  return node.Stop() ? 0 : kExitCutOff;
}

}  // namespace

int main(int aCount, char** aArguments) {
  CLI::App app("Overload control layer for service call graphs.");
  app.require_subcommand(1);
  std::string settingsFile;
  auto* node = app.add_subcommand("node", "Run the node beside a target");
  node->add_option("--settings", settingsFile, "Settings file")->required();
  std::string checkedFile;
  auto* check = app.add_subcommand("check", "Check a settings file");
  check->add_option("file", checkedFile, "Settings file")->required();
  app.add_subcommand("ctl", "Operators' commands; see fescueline ctl --help")
      ->prefix_command();
  CLI11_PARSE(app, aCount, aArguments);
  try {
    if (node->parsed()) {
      return RunNode(settingsFile);
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
