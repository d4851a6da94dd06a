#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace fescueline {

/// Searches the body of a response for the head of another response to the same
/// request, which means that the server stopped there and sent the response
/// again. A status line counts only if a field with the request id follows in
/// the same head, since bodies may quote other messages. Buffers one line at
/// most. Not thread-safe.
class RepeatedHeadScanner {
 public:
  /// aIdField: name of the header field that echoes the request id.
  RepeatedHeadScanner(std::string_view aIdField, std::string_view aRequestId);

  /// Scans the next bytes of the body.
  void Scan(std::string_view aBytes);
  /// Scans trailing bytes after the body for the rest of a head that began
  /// within the body.
  void ScanTrailing(std::string_view aBytes);
  /// Whether a repeated head was found.
  bool HasFound() const { return this->found; }

 private:
  /// Consumes bytes up to the end of the next status code; returns their count.
  size_t ConsumeToStatus(std::string_view aBytes);
  void BeginHead();
  void ReadHead(std::string_view aBytes);
  void EndLine();

  std::string idField;
  std::string requestId;
  /// Maximum length of a line that can be the field with the request id.
  size_t maxLineBytes;
  /// Number of bytes of the status line pattern that the last bytes match.
  size_t matched = 0;
  /// Remaining size limit of the head in progress; 0 outside of a head.
  size_t headBytesLeft = 0;
  /// Current line of the head, cut off after maxLineBytes + 1 bytes.
  std::string line;
  bool found = false;
};

}  // namespace fescueline
