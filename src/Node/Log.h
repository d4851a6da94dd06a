#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fescueline {

/// Severity of a log line.
enum class LogLevel : uint8_t { Info, Warning, Error };

/// One key and value of a log line.
struct LogField {
  std::string_view key;
  std::string value;
};

/// Writes one line `time level event="..." key="..."` to the standard error
/// stream. For changes of state only; what happens often is counted instead.
void Log(LogLevel aLevel, std::string_view aEvent,
         const std::vector<LogField>& aFields = {});

/// Turns log lines off; for tests and benchmarks.
void DisableLog();

}  // namespace fescueline
