#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Time.h"

namespace fescueline {

/// Writes lines to a descriptor without ever waiting for its reader. Lines
/// that find no room in the buffer are dropped and counted. No locking.
class LineWriter {
 public:
  /// Construction parameters.
  struct Settings {
    /// Descriptor to write to; stays open.
    int descriptor = 1;
    /// Bytes that may wait for the reader. A second of the heaviest load that
    /// was measured is about 60 KB.
    size_t capacity = size_t{256} * 1024;
    /// Waiting bytes from which they are written at once.
    size_t batch = size_t{8} * 1024;
    /// Longest time that a line waits for others, if any follow.
    Duration maxDelay = std::chrono::milliseconds(100);
  };

  explicit LineWriter(const Settings& aSettings) : settings(aSettings) {}

  /// Queues a line; the line feed is added. False if it was dropped.
  bool Write(std::string_view aLine, TimePoint aNow);
  /// Writes what the reader takes now.
  void Flush(TimePoint aNow);
  /// Lines dropped since the last call.
  uint64_t TakeDropped();
  /// Bytes that wait.
  size_t Waiting() const { return this->buffer.size(); }

 private:
  Settings settings;
  std::string buffer;
  TimePoint lastFlush{};
  uint64_t dropped = 0;
};

}  // namespace fescueline
