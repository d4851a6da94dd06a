#pragma once

#include <charconv>
#include <cstddef>
#include <string_view>

namespace fescueline {

/// Parses the heads of an HTTP/1.1 response line by line to detect whether the
/// final one is complete, as libcurl reports success for a response that ends
/// before the empty line of its head. Not thread-safe.
class ResponseHeadTracker {
 public:
  /// Largest total size of a response's heads, interim responses and trailers
  /// included, in bytes. HttpClientConnection has the same limit.
  static constexpr size_t kMaxBytes = size_t{64} * 1024;

  /// Adds the next line, with its line end. False if the lines exceed
  /// kMaxBytes.
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

  /// Status code of a status line; 0 if there is none.
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
  /// Status code of the current head.
  int status = 0;
  bool complete = false;
};

}  // namespace fescueline
