#pragma once

#include <charconv>
#include <cstddef>
#include <string_view>

namespace fescueline {

/// Follows the heads of an HTTP/1.1 response, line by line, up to the empty
/// line of the final one. libcurl reports success for a response that breaks
/// off before that line. One thread.
class HeadTracker {
 public:
  /// Longest heads of a response with its interim responses and trailers, in
  /// bytes; the same as HttpClientConnection accepts.
  static constexpr size_t kMaxBytes = size_t{64} * 1024;

  /// Takes the next line with its line end; false once there is too much.
  bool AddLine(std::string_view aLine) {
    this->bytes += aLine.size();
    if (aLine.starts_with("HTTP/") && !this->complete) {
      this->status = StatusOf(aLine);
    } else if (aLine == "\r\n" || aLine == "\n") {
      this->complete = this->complete || this->status >= kFirstFinalStatus;
    }
    return this->bytes <= kMaxBytes;
  }
  /// Whether the head of a final response is complete.
  bool IsComplete() const { return this->complete; }

 private:
  static constexpr int kFirstFinalStatus = 200;

  /// Status of a status line; 0 if it has none.
  static int StatusOf(std::string_view aLine) {
    const size_t space = aLine.find(' ');
    int status = 0;
    if (space != std::string_view::npos) {
      const std::string_view text = aLine.substr(space + 1);
      std::from_chars(text.data(), text.data() + text.size(), status);
    }
    return status;
  }

  size_t bytes = 0;
  /// Status of the head in progress.
  int status = 0;
  bool complete = false;
};

}  // namespace fescueline
