#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "Core/Time.h"

namespace fescueline {

/// Writes lines to a file descriptor and never blocks on its reader. Lines that
/// do not fit into the buffer are dropped and counted. No locking.
class LineWriter {
 public:
  struct Settings {
    /// File descriptor to write to. Not closed by the writer.
    int descriptor = 1;
    /// Size of the buffer in bytes. The heaviest measured load writes about
    /// 60 KB per second.
    size_t capacity = size_t{256} * 1024;
    /// Buffered bytes from which a new line causes a flush.
    size_t flushThreshold = size_t{8} * 1024;
    /// Time after a flush from which the next line causes another one.
    Duration maxDelay = std::chrono::milliseconds(100);
  };

  explicit LineWriter(const Settings& aSettings) : settings(aSettings) {}

  /// Buffers a line and adds the line feed. False if it was dropped.
  bool Write(std::string_view aLine, TimePoint aNow);
  /// Writes as many buffered bytes as possible without blocking.
  void Flush(TimePoint aNow);
  /// Lines dropped since the last call.
  uint64_t TakeDropped();
  size_t BufferedBytes() const { return this->buffer.size(); }

 private:
  Settings settings;
  std::string buffer;
  TimePoint lastFlush{};
  uint64_t dropped = 0;
};

}  // namespace fescueline
