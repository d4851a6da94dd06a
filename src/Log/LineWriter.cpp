#include "Log/LineWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace fescueline {

bool LineWriter::Write(std::string_view aLine, TimePoint aNow) {
  if (this->buffer.size() + aLine.size() + 1 > this->settings.capacity) {
    this->Flush(aNow);
  }
  const bool fits =
      this->buffer.size() + aLine.size() + 1 <= this->settings.capacity;
  if (fits) {
    this->buffer += aLine;
    this->buffer += '\n';
  } else {
    ++this->dropped;
  }
  if (this->buffer.size() >= this->settings.flushThreshold ||
      aNow - this->lastFlush >= this->settings.maxDelay) {
    this->Flush(aNow);
  }
  return fits;
}

void LineWriter::Flush(TimePoint aNow) {
  this->lastFlush = aNow;
  size_t written = 0;
  while (written < this->buffer.size()) {
    pollfd state{.fd = this->settings.descriptor, .events = POLLOUT};
    if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const size_t part =
        std::min<size_t>(PIPE_BUF, this->buffer.size() - written);
    const ssize_t count =
        write(this->settings.descriptor, this->buffer.data() + written, part);
    if (count <= 0) {
      break;
    }
    written += static_cast<size_t>(count);
  }
  this->buffer.erase(0, written);
}

uint64_t LineWriter::TakeDropped() { return std::exchange(this->dropped, 0); }

}  // namespace fescueline
