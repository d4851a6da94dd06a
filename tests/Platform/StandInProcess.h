#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <string>

#include "Platform/HttpObjectStore.h"
#include "Platform/HttpTableStore.h"

namespace fescueline::test {

/// Runs the stand-in of the table service as a child process, from the folder
/// in FESCUELINE_BIN. Not thread-safe.
class StandInProcess {
 public:
  StandInProcess() {
    const char* folder = std::getenv("FESCUELINE_BIN");
    REQUIRE_MESSAGE(folder != nullptr, "FESCUELINE_BIN is not set");
    std::string binary = std::string(folder) + "/fescueline-table-stand-in";
    int output[2];
    int input[2];
    REQUIRE(pipe2(output, O_CLOEXEC) == 0);
    REQUIRE(pipe2(input, O_CLOEXEC) == 0);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, input[0], STDIN_FILENO);
    std::string option = "--exit-with-stdin";
    char* const arguments[] = {binary.data(), option.data(), nullptr};
    const int failed = posix_spawn(&this->pid, binary.c_str(), &actions,
                                   nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    close(output[1]);
    close(input[0]);
    this->stdinPipe = input[1];
    REQUIRE_MESSAGE(failed == 0, binary);
    std::string line;
    for (char byte = 0; read(output[0], &byte, 1) == 1 && byte != '\n';) {
      line.push_back(byte);
    }
    close(output[0]);
    const std::string prefix = "listening ";
    REQUIRE(line.starts_with(prefix));
    this->baseUrl = "http://" + line.substr(prefix.size());
  }
  StandInProcess(const StandInProcess&) = delete;
  StandInProcess& operator=(const StandInProcess&) = delete;
  ~StandInProcess() { this->Stop(); }

  /// Ends the process and waits for its exit.
  void Stop() {
    if (this->pid > 0) {
      kill(this->pid, SIGTERM);
      waitpid(this->pid, nullptr, 0);
      close(this->stdinPipe);
      this->pid = -1;
    }
  }

  /// "http://127.0.0.1:PORT".
  const std::string& BaseUrl() const { return this->baseUrl; }

  /// Sets faults by a JSON object; see Faults::Apply.
  void Control(const std::string& aJson) const {
    HttpSession session({.baseUrl = this->baseUrl});
    const HttpReply reply = session.Perform({.step = "test.control",
                                             .verb = HttpVerb::Post,
                                             .path = "/control",
                                             .body = aJson});
    REQUIRE_MESSAGE(reply.status == 200, reply.body);
  }

  /// Value of a counter in /control/stats.
  uint64_t Stat(const std::string& aName) const {
    HttpSession session({.baseUrl = this->baseUrl});
    const HttpReply reply =
        session.Perform({.step = "test.stats", .path = "/control/stats"});
    return nlohmann::json::parse(reply.body).at(aName).get<uint64_t>();
  }

  HttpTableStore OpenTable(const std::string& aTable,
                           Duration aTimeout = std::chrono::seconds(5)) const {
    return HttpTableStore(
        {.http = {.baseUrl = this->baseUrl, .totalTimeout = aTimeout},
         .table = aTable});
  }

  HttpObjectStore OpenObjects() const {
    return HttpObjectStore({.baseUrl = this->baseUrl});
  }

 private:
  /// Process id; -1 after Stop.
  pid_t pid = -1;
  /// Write end of the process's standard input. The process ends when it
  /// closes, so that a crashed test leaves no process behind.
  int stdinPipe = -1;
  std::string baseUrl;
};

}  // namespace fescueline::test
