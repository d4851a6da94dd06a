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

/// Writes one JSON object on a line of the standard output: `time`, `level`,
/// `event` and the fields. For decisions that affect a request and for changes
/// of the node's state; successes are counted in metrics instead. Never blocks:
/// the lines of each event per second are limited, and lines that the reader
/// does not consume in time are dropped. Separate lines report how many were
/// suppressed or dropped. Thread-safe.
void Log(LogLevel aLevel, std::string_view aEvent,
         const std::vector<LogField>& aFields = {});

/// Writes buffered lines to the standard output. Call periodically, because
/// lines are written in batches, and before the process ends.
void FlushLog();

/// For tests.
void DisableLog();

}  // namespace fescueline
