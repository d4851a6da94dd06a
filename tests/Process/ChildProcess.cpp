#include "Process/ChildProcess.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

#include "Core/Error.h"

namespace fescueline::test {

namespace {
constexpr int kCannotExecute = 127;
constexpr Duration kPoll = std::chrono::milliseconds(10);
}  // namespace

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aOutputFile) {
  const char* folder = std::getenv("FESCUELINE_BIN");
  if (folder == nullptr) {
    throw Error("test.start", aProgram, "FESCUELINE_BIN is not set");
  }
  const std::string path = std::string(folder) + "/" + aProgram;
  std::vector<char*> arguments = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  constexpr mode_t kMode = 0600;
  const int output = open(aOutputFile.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
  const pid_t parent = getpid();
  this->pid = fork();
  if (this->pid == 0) {
    // Only calls that are safe after fork in a process with threads.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent || output < 0) {
      _exit(kCannotExecute);
    }
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(path.c_str(), arguments.data());
    _exit(kCannotExecute);
  }
  close(output);
  if (this->pid < 0) {
    throw Error("test.start", aProgram, "fork failed");
  }
}

ChildProcess::ChildProcess(ChildProcess&& aOther) noexcept
    : pid(std::exchange(aOther.pid, -1)) {}

ChildProcess& ChildProcess::operator=(ChildProcess&& aOther) noexcept {
  if (this != &aOther) {
    this->Kill();
    this->pid = std::exchange(aOther.pid, -1);
  }
  return *this;
}

void ChildProcess::Kill() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
  }
}

void ChildProcess::Freeze() {
  if (this->pid > 0) {
    kill(this->pid, SIGSTOP);
    waitpid(this->pid, nullptr, WUNTRACED);
  }
}

void ChildProcess::Thaw() {
  if (this->pid > 0) {
    kill(this->pid, SIGCONT);
  }
}

void ChildProcess::Terminate() {
  if (this->pid > 0) {
    kill(this->pid, SIGTERM);
  }
}

int ChildProcess::WaitExit(Duration aLimit) {
  const TimePoint limit = SteadyClock().Now() + aLimit;
  while (this->pid > 0 && SteadyClock().Now() < limit) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::this_thread::sleep_for(kPoll);
  }
  this->Kill();
  return -1;
}

}  // namespace fescueline::test
