#include "ProcessorTime.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

#include "Core/Error.h"

namespace fescueline {

Duration ProcessorTime(uint64_t aPid) {
  const std::string path = "/proc/" + std::to_string(aPid) + "/stat";
  std::ifstream file(path);
  std::string line;
  if (!std::getline(file, line)) {
    throw Error("path-load.processor-time", path, "the file cannot be read");
  }
  // Starts after the program name in parentheses, which may contain spaces.
  std::istringstream fields(line.substr(line.rfind(')') + 1));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  uint64_t user = 0;
  uint64_t system = 0;
  fields >> user >> system;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(user + system) /
                                    static_cast<double>(sysconf(_SC_CLK_TCK))));
}

}  // namespace fescueline
