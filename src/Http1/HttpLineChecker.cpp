#include "Http1/HttpLineChecker.h"

#include <algorithm>

#include "Core/Error.h"

namespace fescueline {

namespace {
/// Maximum length of a chunk size line, bytes. Bounds the overhead per body
/// byte; extensions with chunk signatures need about 100 bytes.
constexpr size_t kMaxChunkLineBytes = 1024;
/// Largest chunk size to which another digit may be appended.
constexpr uint64_t kMaxAppendableSize = UINT64_MAX >> 8;

[[noreturn]] void Fail(std::string_view aWhat) {
  throw Error("http.parse", "", aWhat);
}

/// Value of a hexadecimal digit; -1 for any other byte.
int HexValue(char aByte) {
  if (aByte >= '0' && aByte <= '9') {
    return aByte - '0';
  }
  const char lower = static_cast<char>(aByte | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}
}  // namespace

void HttpLineChecker::BeginHead() { *this = HttpLineChecker(this->messages); }

void HttpLineChecker::BeginChunks() {
  this->BeginHead();
  this->isFirstLine = false;
  this->phase = Phase::ChunkSize;
  this->skipsEmptyLines = false;
}

size_t HttpLineChecker::Check(std::string_view aBytes) {
  size_t at = 0;
  while (at < aBytes.size() && this->phase != Phase::Ended) {
    if (this->phase == Phase::ChunkData) {
      const uint64_t part =
          std::min<uint64_t>(this->chunkLeft, aBytes.size() - at);
      this->chunkLeft -= part;
      at += part;
      if (this->chunkLeft == 0) {
        this->phase = Phase::ChunkEnd;
      }
      continue;
    }
    if (const size_t line = this->ConsumeLine(aBytes.substr(at))) {
      at += line;
      continue;
    }
    this->ConsumeByte(aBytes[at]);
    ++at;
  }
  return at;
}

size_t HttpLineChecker::ConsumeLine(std::string_view aBytes) {
  if (this->phase != Phase::Lines || this->lineBytes > 0 || this->afterCr) {
    return 0;
  }
  // Fast path for lines that have arrived completely, as most do: checking byte
  // by byte takes twice as long as the parser itself.
  const size_t end = aBytes.find('\n');
  if (end == std::string_view::npos || end < 2) {
    return 0;
  }
  const size_t size = aBytes[end - 1] == '\r' ? end - 1 : end;
  const std::string_view line = aBytes.substr(0, size);
  if (line.find('\r') != std::string_view::npos) {
    return 0;
  }
  this->BeginLine(line.front());
  this->CheckLine(line);
  this->EndLine();
  return end + 1;
}

void HttpLineChecker::ConsumeByte(char aByte) {
  const bool lineEnds = this->EndsLine(aByte);
  if (this->afterCr) {
    return;
  }
  switch (this->phase) {
    case Phase::Lines:
      if (lineEnds) {
        this->EndLine();
        break;
      }
      if (this->lineBytes == 0) {
        this->BeginLine(aByte);
      }
      this->CheckLine({&aByte, 1});
      break;
    case Phase::ChunkSize:
    case Phase::ChunkPadding:
    case Phase::ChunkExtension:
      lineEnds ? this->EndSizeLine() : this->OnSizeByte(aByte);
      break;
    case Phase::ChunkEnd:
      if (!lineEnds) {
        Fail("chunk longer than its size");
      }
      this->phase = Phase::ChunkSize;
      break;
    case Phase::ChunkData:
    case Phase::Ended:
      break;
  }
}

bool HttpLineChecker::EndsLine(char aByte) {
  if (this->afterCr) {
    if (aByte != '\n') {
      Fail("CR without LF");
    }
    this->afterCr = false;
    return true;
  }
  this->afterCr = aByte == '\r';
  return aByte == '\n';
}

void HttpLineChecker::BeginLine(char aByte) {
  if (aByte == ' ' || aByte == '\t') {
    Fail("line starts with whitespace");
  }
  this->skipsEmptyLines = false;
  this->grammar.Begin(this->isFirstLine ? HttpLineKind::Status
                                        : HttpLineKind::Field);
}

void HttpLineChecker::CheckLine(std::string_view aPart) {
  this->lineBytes += aPart.size();
  if (!this->IsRequestLine() && !this->grammar.Add(aPart)) {
    Fail(this->isFirstLine ? "malformed status line" : "malformed field");
  }
}

void HttpLineChecker::EndLine() {
  if (this->lineBytes == 0) {
    if (!this->skipsEmptyLines) {
      this->phase = Phase::Ended;
    }
    return;
  }
  if (!this->IsRequestLine() && !this->grammar.MayEnd()) {
    Fail(this->isFirstLine ? "status line ends early"
                           : "field without a colon");
  }
  this->lineBytes = 0;
  this->isFirstLine = false;
}

void HttpLineChecker::OnSizeByte(char aByte) {
  ++this->lineBytes;
  if (this->lineBytes > kMaxChunkLineBytes) {
    Fail("chunk size line too long");
  }
  if (this->phase == Phase::ChunkExtension) {
    return;
  }
  const int digit = HexValue(aByte);
  if (digit >= 0 && this->phase == Phase::ChunkSize) {
    if (this->chunkLeft > kMaxAppendableSize) {
      Fail("chunk size out of range");
    }
    this->chunkLeft = this->chunkLeft * 16 + static_cast<uint64_t>(digit);
    return;
  }
  const bool isPadding = aByte == ' ' || aByte == '\t';
  if (this->lineBytes == 1 || (!isPadding && aByte != ';')) {
    Fail("invalid chunk size");
  }
  this->phase = isPadding ? Phase::ChunkPadding : Phase::ChunkExtension;
}

void HttpLineChecker::EndSizeLine() {
  if (this->lineBytes == 0) {
    Fail("chunk without a size");
  }
  this->lineBytes = 0;
  this->phase = this->chunkLeft == 0 ? Phase::Lines : Phase::ChunkData;
}

}  // namespace fescueline
