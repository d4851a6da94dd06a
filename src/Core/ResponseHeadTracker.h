#pragma once

#include <cstddef>
#include <string_view>

#include "Core/HttpLineGrammar.h"

namespace fescueline {

/// Checks the heads of an HTTP/1.1 response line by line, as libcurl passes
/// them on: libcurl reports success for a response that ends before the empty
/// line of its head, and accepts statuses and field names outside the grammar.
/// A response is complete if the head of a final response is, and libcurl
/// reports success. Not thread-safe.
class ResponseHeadTracker {
 public:
  /// Largest total size of a response's heads, interim responses and trailers
  /// included, in bytes. HttpClientConnection has the same limit.
  static constexpr size_t kMaxBytes = size_t{64} * 1024;

  /// Adds the next line, with its line end. Returns why the response must be
  /// rejected; empty if it is valid so far.
  std::string_view AddLine(std::string_view aLine) {
    this->bytes += aLine.size();
    if (this->bytes > kMaxBytes) {
      return "head of the response is too long";
    }
    aLine = aLine.substr(0, aLine.find_last_not_of("\r\n") + 1);
    if (aLine.empty()) {
      this->complete = this->complete || this->isFinal;
      this->inHead = this->complete;
      return {};
    }
    const HttpLineKind kind =
        this->inHead ? HttpLineKind::Field : HttpLineKind::Status;
    this->inHead = true;
    if (!IsValidHttpLine(kind, aLine)) {
      return "malformed line in the head of the response";
    }
    if (kind == HttpLineKind::Status) {
      this->isFinal = aLine[kStatusPosition] != '1';
    }
    return {};
  }
  /// Whether the head of a final response is complete.
  bool IsComplete() const { return this->complete; }

 private:
  /// Position of the status in a status line.
  static constexpr size_t kStatusPosition = 9;

  size_t bytes = 0;
  /// Whether the next line is a field: of the current head, or a trailer.
  bool inHead = false;
  /// Whether the current head is that of a final response.
  bool isFinal = false;
  bool complete = false;
};

}  // namespace fescueline
