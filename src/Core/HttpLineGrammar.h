#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fescueline {

/// Kind of a line in the head of an HTTP/1.1 message.
enum class HttpLineKind : uint8_t {
  /// Status line of a response, with a status from 100 to 599.
  Status,
  /// Header or trailer field.
  Field
};

/// Checks one line against the grammar of RFC 9112, sections 4 and 5, as its
/// parts arrive. The parsers in use are more tolerant: they take a field whose
/// name ends with a blank for framing, and any number of digits for a status.
/// Not thread-safe.
class HttpLineGrammar {
 public:
  /// Starts a line.
  void Begin(HttpLineKind aKind) {
    this->kind = aKind;
    this->length = 0;
    this->inValue = false;
  }
  /// Adds the next part of the line, without its line end. False if no line of
  /// that kind begins so.
  bool Add(std::string_view aPart);
  /// Whether the line may end here.
  bool MayEnd() const;

 private:
  bool AddToStatus(char aByte);
  bool AddToField(std::string_view aPart);

  HttpLineKind kind = HttpLineKind::Field;
  /// Number of bytes so far.
  size_t length = 0;
  /// Whether the colon of a field has been read.
  bool inValue = false;
};

/// Whether a complete line, without its line end, is valid.
bool IsValidHttpLine(HttpLineKind aKind, std::string_view aLine);

/// Whether the text is a field name: a token (RFC 9110, section 5.6.2).
bool IsFieldName(std::string_view aText);

/// Whether the text may be a field value: no control byte except tab.
bool IsFieldValue(std::string_view aText);

}  // namespace fescueline
