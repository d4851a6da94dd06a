#include "Transport/RepeatedHeadScanner.h"

#include <algorithm>
#include <cstring>

#include "Transport/HttpMessage.h"

namespace fescueline {

namespace {
constexpr std::string_view kVersionPrefix = "HTTP/1.";
/// Pattern of a status line up to the status code; 0 matches any digit.
constexpr std::string_view kStatusLine = "HTTP/1.0 000";
/// Maximum head size; equals that of response heads from targets.
constexpr size_t kMaxHeadBytes = size_t{64} * 1024;
/// Maximum whitespace around the name and value of a field.
constexpr size_t kMaxWhitespace = 64;
constexpr std::string_view kWhitespace = " \t\r";

bool MatchesAt(size_t aMatched, char aByte) {
  const char expected = kStatusLine[aMatched];
  return expected == '0' ? aByte >= '0' && aByte <= '9' : aByte == expected;
}

std::string_view Trim(std::string_view aText) {
  aText.remove_prefix(
      std::min(aText.find_first_not_of(kWhitespace), aText.size()));
  return aText.substr(0, aText.find_last_not_of(kWhitespace) + 1);
}

/// Position of the version prefix. Uses memmem, since std::string_view::find is
/// slow on a body that consists of the first letter of the prefix.
size_t FindVersionPrefix(std::string_view aBytes) {
  const void* found = memmem(aBytes.data(), aBytes.size(),
                             kVersionPrefix.data(), kVersionPrefix.size());
  return found == nullptr ? std::string_view::npos
                          : static_cast<const char*>(found) - aBytes.data();
}

/// Length of the longest suffix of the bytes that is a proper prefix of the
/// version prefix. The bytes must not contain the whole version prefix.
size_t PartialPrefixAtEnd(std::string_view aBytes) {
  size_t size = std::min(kVersionPrefix.size() - 1, aBytes.size());
  while (!aBytes.ends_with(kVersionPrefix.substr(0, size))) {
    --size;
  }
  return size;
}
}  // namespace

RepeatedHeadScanner::RepeatedHeadScanner(std::string_view aIdField,
                                         std::string_view aRequestId)
    : idField(aIdField),
      requestId(aRequestId),
      maxLineBytes(aIdField.size() + 1 + aRequestId.size() + kMaxWhitespace) {}

void RepeatedHeadScanner::Scan(std::string_view aBytes) {
  while (!aBytes.empty() && !this->found) {
    const size_t used = this->ConsumeToStatus(aBytes);
    this->ReadHead(aBytes.substr(0, used));
    if (this->matched == kStatusLine.size()) {
      this->BeginHead();
    }
    aBytes.remove_prefix(used);
  }
}

void RepeatedHeadScanner::ScanTrailing(std::string_view aBytes) {
  size_t used = 0;
  while (this->matched > 0 && this->matched < kStatusLine.size() &&
         used < aBytes.size()) {
    this->matched =
        MatchesAt(this->matched, aBytes[used]) ? this->matched + 1 : 0;
    ++used;
  }
  if (this->matched == kStatusLine.size()) {
    this->BeginHead();
    aBytes.remove_prefix(used);
  }
  // A status line in the trailing bytes starts a separate response after the
  // body.
  const size_t end = FindVersionPrefix(aBytes);
  this->ReadHead(aBytes.substr(0, end));
  if (end != std::string_view::npos) {
    this->headBytesLeft = 0;
  }
}

bool RepeatedHeadScanner::EndsWithinHead() const {
  return !this->found &&
         (this->matched >= kVersionPrefix.size() || this->IsWithinHead());
}

size_t RepeatedHeadScanner::ConsumeToStatus(std::string_view aBytes) {
  size_t at = 0;
  while (at < aBytes.size() && this->matched < kStatusLine.size()) {
    if (this->matched > 0) {
      // No proper prefix of the pattern occurs again within it, so after a
      // mismatch only the current byte can start another match.
      const bool matches = MatchesAt(this->matched, aBytes[at]);
      this->matched = matches ? this->matched + 1 : 0;
      at += matches ? 1 : 0;
      continue;
    }
    const size_t offset = FindVersionPrefix(aBytes.substr(at));
    if (offset == std::string_view::npos) {
      this->matched = PartialPrefixAtEnd(aBytes.substr(at));
      return aBytes.size();
    }
    this->matched = kVersionPrefix.size();
    at += offset + kVersionPrefix.size();
  }
  return at;
}

void RepeatedHeadScanner::BeginHead() {
  this->matched = 0;
  this->headBytesLeft = kMaxHeadBytes;
  this->wellFormed = true;
  this->line = kVersionPrefix;
}

void RepeatedHeadScanner::ReadHead(std::string_view aBytes) {
  while (!aBytes.empty() && this->headBytesLeft > 0 && !this->found) {
    const size_t end = aBytes.find('\n');
    const std::string_view part = aBytes.substr(0, end);
    // Keeps one byte more than maxLineBytes, so that EndLine detects longer
    // lines.
    const size_t room = this->maxLineBytes + 1 - this->line.size();
    this->line.append(part.substr(0, room));
    if (this->line.size() > this->maxLineBytes &&
        this->line.starts_with(kVersionPrefix)) {
      // Text that quotes a status line, not a head.
      this->wellFormed = false;
    }
    const size_t used = std::min(part.size() + 1, aBytes.size());
    this->headBytesLeft -= std::min(this->headBytesLeft, used);
    aBytes.remove_prefix(used);
    if (end != std::string_view::npos) {
      this->EndLine();
    }
  }
}

void RepeatedHeadScanner::EndLine() {
  if (this->line.empty() || this->line == "\r") {
    this->headBytesLeft = 0;
  }
  const std::string_view field = this->line;
  const size_t colon = field.find(':');
  this->wellFormed = this->wellFormed && (colon != std::string_view::npos ||
                                          field.starts_with(kVersionPrefix));
  this->found = field.size() <= this->maxLineBytes &&
                colon != std::string_view::npos &&
                EqualHeaderName(Trim(field.substr(0, colon)), this->idField) &&
                Trim(field.substr(colon + 1)) == this->requestId;
  this->line.clear();
}

}  // namespace fescueline
