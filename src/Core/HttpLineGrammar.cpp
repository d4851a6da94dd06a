#include "Core/HttpLineGrammar.h"

#include <algorithm>
#include <array>

namespace fescueline {

namespace {
/// Status line up to its status: 9 stands for a digit, 5 for one from 1 to 5.
constexpr std::string_view kStatusPattern = "HTTP/1.9 599";

constexpr bool IsDigit(char aByte) { return aByte >= '0' && aByte <= '9'; }

constexpr bool IsTokenByte(char aByte) {
  const char lower = static_cast<char>(aByte | 0x20);
  return IsDigit(aByte) || (lower >= 'a' && lower <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(aByte) !=
             std::string_view::npos;
}

constexpr std::array<bool, 256> kTokenBytes = [] {
  std::array<bool, 256> bytes{};
  for (size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = IsTokenByte(static_cast<char>(i));
  }
  return bytes;
}();

bool MatchesStatusPattern(size_t aPosition, char aByte) {
  switch (kStatusPattern[aPosition]) {
    case '9':
      return IsDigit(aByte);
    case '5':
      return aByte >= '1' && aByte <= '5';
    default:
      return aByte == kStatusPattern[aPosition];
  }
}
}  // namespace

bool IsFieldName(std::string_view aText) {
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return kTokenBytes[static_cast<unsigned char>(aByte)];
         });
}

bool IsFieldValue(std::string_view aText) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return std::none_of(aText.begin(), aText.end(), [](char aByte) {
    const auto byte = static_cast<unsigned char>(aByte);
    return (byte < kFirstPrintable && byte != '\t') || byte == kDelete;
  });
}

bool HttpLineGrammar::Add(std::string_view aPart) {
  if (this->kind == HttpLineKind::Field) {
    return this->AddToField(aPart);
  }
  return std::all_of(aPart.begin(), aPart.end(),
                     [this](char aByte) { return this->AddToStatus(aByte); });
}

bool HttpLineGrammar::AddToStatus(char aByte) {
  const size_t position = this->length++;
  if (position < kStatusPattern.size()) {
    return MatchesStatusPattern(position, aByte);
  }
  return position == kStatusPattern.size() ? aByte == ' '
                                           : IsFieldValue({&aByte, 1});
}

bool HttpLineGrammar::AddToField(std::string_view aPart) {
  if (!this->inValue) {
    const size_t colon = aPart.find(':');
    const std::string_view name = aPart.substr(0, colon);
    const bool hasName = this->length + name.size() > 0;
    if (!hasName || (!name.empty() && !IsFieldName(name))) {
      return false;
    }
    this->length += name.size();
    if (colon == std::string_view::npos) {
      return true;
    }
    this->inValue = true;
    aPart.remove_prefix(colon + 1);
  }
  return IsFieldValue(aPart);
}

bool HttpLineGrammar::MayEnd() const {
  return this->kind == HttpLineKind::Field
             ? this->inValue
             : this->length >= kStatusPattern.size();
}

bool IsValidHttpLine(HttpLineKind aKind, std::string_view aLine) {
  HttpLineGrammar grammar;
  grammar.Begin(aKind);
  return grammar.Add(aLine) && grammar.MayEnd();
}

}  // namespace fescueline
