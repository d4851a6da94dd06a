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
/// `event` and the fields. For decisions that touch a request and for changes
/// of what the node believes; what goes well is counted instead. Never blocks:
/// of each event only so many lines a second are kept, and what the reader
/// does not take in time is dropped; both are counted in a line of their own.
/// Any thread.
void Log(LogLevel aLevel, std::string_view aEvent,
         const std::vector<LogField>& aFields = {});

/// Hands lines that wait to the standard output. Call now and then, as lines
/// are written in batches, and before the process ends.
void FlushLog();

/// Turns log lines off; for tests and benchmarks.
void DisableLog();

}  // namespace fescueline
