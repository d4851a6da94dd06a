#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "StandInTarget.h"

/// Runs a stand-in target until SIGTERM.
int main(int aCount, char** aArguments) {
  fescueline::StandInTarget::Settings settings;
  CLI::App app("Stand-in target to run beside a node in tests and demos.");
  app.add_option("--node", settings.nodeUrl,
                 "URL of the node's local listener, http://127.0.0.1:PORT")
      ->required();
  app.add_option("--service", settings.service, "Service name")->required();
  app.add_option("--slots", settings.slots, "Requests handled at once");
  app.add_option("--work-us", settings.workMicroseconds,
                 "Work time of a request in microseconds");
  app.add_option("--journal", settings.journal,
                 "File to which a line per arrival and execution is appended");
  app.add_option(
      "--call", settings.calls,
      "Path to call through the node for each request; may be repeated");
  CLI11_PARSE(app, aCount, aArguments);

  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stops, nullptr);
  try {
    fescueline::StandInTarget target(settings);
    std::cout << "listening 127.0.0.1:" << target.Port() << std::endl;
    int signal = 0;
    sigwait(&stops, &signal);
    target.Stop();
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 1;
  }
  return 0;
}
