#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace fescueline {

/// Looks within the body of a response for the head of another response to the
/// same request: its server stopped there and wrote the response once more. A
/// status line counts if a field with the request's own identifier follows
/// within its head, as bodies may quote other messages. Keeps one line at most.
/// One thread.
class RepeatedHeadScanner {
 public:
  /// aIdField: name of the field that echoes the identifier.
  RepeatedHeadScanner(std::string_view aIdField, std::string_view aRequestId);

  /// Looks through the next bytes of the body.
  void Scan(std::string_view aBytes);
  /// Looks through bytes behind the body for the rest of a head that began
  /// within it.
  void ScanTrailing(std::string_view aBytes);
  /// Whether there was such a head.
  bool HasFound() const { return this->found; }

 private:
  /// Takes bytes up to the end of the next status and returns their number.
  size_t TakeToStatus(std::string_view aBytes);
  void BeginHead();
  void ReadHead(std::string_view aBytes);
  void EndLine();

  std::string idField;
  std::string requestId;
  /// Longest line that can be the identifier's field.
  size_t maxLine;
  /// Bytes of a status line up to its status that the last bytes are.
  size_t matched = 0;
  /// Bytes that the head in progress may still have; 0 outside of one.
  size_t headLeft = 0;
  /// Present line of the head, as far as it is of use.
  std::string line;
  bool found = false;
};

}  // namespace fescueline
