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
  /// Scans all trailing bytes after the body, in one call, for the rest of a
  /// head that began within the body.
  void ScanTrailing(std::string_view aBytes);
  /// Whether a repeated head was found.
  bool HasFound() const { return this->found; }
  /// Whether the next bytes can complete a repeated head that has begun, if
  /// only with the first byte of its status line.
  bool MayComplete() const {
    return !this->found && (this->matched > 0 || this->IsWithinHead());
  }
  /// Whether the bytes so far end within a head that has the version at least.
  bool EndsWithinHead() const;

 private:
  /// Consumes bytes up to the end of the next status code; returns their count.
  size_t ConsumeToStatus(std::string_view aBytes);
  void BeginHead();
  void ReadHead(std::string_view aBytes);
  void EndLine();
  /// Whether all lines of a head in progress are those of a head.
  bool IsWithinHead() const {
    return this->headBytesLeft > 0 && this->wellFormed;
  }

  std::string idField;
  std::string requestId;
  /// Maximum length of a line that can be the field with the request id.
  size_t maxLineBytes;
  /// Number of bytes of the status line pattern that the last bytes match.
  size_t matched = 0;
  /// Remaining size limit of the head in progress; 0 outside of a head.
  size_t headBytesLeft = 0;
  /// Whether the lines of the head in progress are a status line and fields.
  bool wellFormed = false;
  /// Current line of the head, cut off after maxLineBytes + 1 bytes.
  std::string line;
  bool found = false;
};

}  // namespace fescueline
