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
      "with requests cut off at the drain deadline.");
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
    if (check->parsed()) {
      return fescueline::CheckSettings(checkedFile, std::cout);
    }
    return fescueline::RunCtl(aCount - 1, aArguments + 1);
  } catch (const std::exception& failure) {
    std::cerr << "fescueline: " << failure.what() << '\n';
    return kExitRefused;
  }
}
