#include "Transport/RepeatedHeadScanner.h"

#include <algorithm>
#include <cstring>

#include "Transport/HttpMessage.h"

namespace fescueline {

namespace {
constexpr std::string_view kName = "HTTP/1.";
/// Status line up to the status; 0 stands for any digit.
constexpr std::string_view kStatusLine = "HTTP/1.0 000";
/// As long as the longest head that is read of a target.
constexpr size_t kMaxHead = size_t{64} * 1024;
/// White space that a field may have around its name and value.
constexpr size_t kMaxBlank = 64;
constexpr std::string_view kBlank = " \t\r";

bool Fits(size_t aMatched, char aByte) {
  const char expected = kStatusLine[aMatched];
  return expected == '0' ? aByte >= '0' && aByte <= '9' : aByte == expected;
}

std::string_view Trim(std::string_view aText) {
  aText.remove_prefix(std::min(aText.find_first_not_of(kBlank), aText.size()));
  return aText.substr(0, aText.find_last_not_of(kBlank) + 1);
}

/// Position of a status line's beginning. memmem takes no longer in a body that
/// is full of its first letter, as std::string_view::find does.
size_t FindName(std::string_view aBytes) {
  const void* found =
      memmem(aBytes.data(), aBytes.size(), kName.data(), kName.size());
  return found == nullptr ? std::string_view::npos
                          : static_cast<const char*>(found) - aBytes.data();
}

/// Length of the longest beginning of a status line that ends the bytes, which
/// hold no whole name.
size_t NameAtEnd(std::string_view aBytes) {
  size_t size = std::min(kName.size() - 1, aBytes.size());
  while (!aBytes.ends_with(kName.substr(0, size))) {
    --size;
  }
  return size;
}
}  // namespace

RepeatedHeadScanner::RepeatedHeadScanner(std::string_view aIdField,
                                         std::string_view aRequestId)
    : idField(aIdField),
      requestId(aRequestId),
      maxLine(aIdField.size() + 1 + aRequestId.size() + kMaxBlank) {}

void RepeatedHeadScanner::Scan(std::string_view aBytes) {
  while (!aBytes.empty() && !this->found) {
    const size_t used = this->TakeToStatus(aBytes);
    this->ReadHead(aBytes.substr(0, used));
    if (this->matched == kStatusLine.size()) {
      this->BeginHead();
    }
    aBytes.remove_prefix(used);
  }
}

void RepeatedHeadScanner::ScanTrailing(std::string_view aBytes) {
  size_t used = 0;
  size_t status = this->matched;
  while (status > 0 && status < kStatusLine.size() && used < aBytes.size() &&
         Fits(status, aBytes[used])) {
    ++status;
    ++used;
  }
  if (status == kStatusLine.size()) {
    this->BeginHead();
    aBytes.remove_prefix(used);
  }
  // A status line there begins a response behind the body.
  this->ReadHead(aBytes.substr(0, FindName(aBytes)));
}

size_t RepeatedHeadScanner::TakeToStatus(std::string_view aBytes) {
  size_t at = 0;
  while (at < aBytes.size() && this->matched < kStatusLine.size()) {
    if (this->matched > 0) {
      // No beginning of the line occurs again within it, so that after a
      // mismatch only the present byte can begin another one.
      const bool fits = Fits(this->matched, aBytes[at]);
      this->matched = fits ? this->matched + 1 : 0;
      at += fits ? 1 : 0;
      continue;
    }
    const size_t name = FindName(aBytes.substr(at));
    if (name == std::string_view::npos) {
      this->matched = NameAtEnd(aBytes.substr(at));
      return aBytes.size();
    }
    this->matched = kName.size();
    at += name + kName.size();
  }
  return at;
}

void RepeatedHeadScanner::BeginHead() {
  this->matched = 0;
  this->headLeft = kMaxHead;
  this->line = kName;
}

void RepeatedHeadScanner::ReadHead(std::string_view aBytes) {
  while (!aBytes.empty() && this->headLeft > 0 && !this->found) {
    const size_t end = aBytes.find('\n');
    const std::string_view part = aBytes.substr(0, end);
    // One byte more than of use, so that a longer line does not fit.
    const size_t room = this->maxLine + 1 - this->line.size();
    this->line.append(part.substr(0, room));
    const size_t used = std::min(part.size() + 1, aBytes.size());
    this->headLeft -= std::min(this->headLeft, used);
    aBytes.remove_prefix(used);
    if (end != std::string_view::npos) {
      this->EndLine();
    }
  }
}

void RepeatedHeadScanner::EndLine() {
  if (this->line.empty() || this->line == "\r") {
    this->headLeft = 0;
  }
  const std::string_view field = this->line;
  const size_t colon = field.find(':');
  this->found = field.size() <= this->maxLine &&
                colon != std::string_view::npos &&
                EqualHeaderName(Trim(field.substr(0, colon)), this->idField) &&
                Trim(field.substr(colon + 1)) == this->requestId;
  this->line.clear();
}

}  // namespace fescueline
