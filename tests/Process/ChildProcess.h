#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "Core/Time.h"

namespace fescueline::test {

/// A program as a process of its own, signalled by its pid only. It is killed
/// when the object or the thread that started it ends, so that no test leaves
/// one behind. Not thread-safe.
class ChildProcess {
 public:
  ChildProcess() = default;
  /// Starts a program of the folder in FESCUELINE_BIN and appends its output to
  /// a file.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aOutputFile);
  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ~ChildProcess() { this->Kill(); }

  bool IsRunning() const { return this->pid > 0; }
  /// Id of the process; -1 if there is none.
  pid_t Pid() const { return this->pid; }
  /// SIGKILL; also ends a frozen process.
  void Kill();
  /// SIGSTOP, and waits until the process has stopped.
  void Freeze();
  /// SIGCONT.
  void Thaw();
  /// SIGTERM.
  void Terminate();
  /// Waits for the exit code; -1 if the process ended by a signal or was killed
  /// because it was still running at the limit.
  int WaitExit(Duration aLimit);

 private:
  /// The process; -1 if there is none.
  pid_t pid = -1;
};

}  // namespace fescueline::test
