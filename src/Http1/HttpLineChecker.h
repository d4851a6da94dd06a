#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "Core/HttpLineGrammar.h"

namespace fescueline {

/// Type of the messages that a reader parses.
enum class HttpReaderKind : uint8_t { Request, Response };

/// Checks the lines of heads and chunked bodies. http_parser, as built by
/// distributions, accepts any byte after a CR as the end of a line, any two
/// bytes as the end of a chunk, and blanks in field names, so that damaged
/// messages parse as complete ones. Not thread-safe.
class HttpLineChecker {
 public:
  explicit HttpLineChecker(HttpReaderKind aKind) : messages(aKind) {}

  /// Expects a head, which empty lines may precede.
  void BeginHead();
  /// Expects a chunked body and its trailers.
  void BeginChunks();
  /// Checks bytes up to the end of the head or chunked body and returns how
  /// many were checked. Throws Error if a line is malformed.
  size_t Check(std::string_view aBytes);
  /// Whether the head or chunked body has ended.
  bool HasEnded() const { return this->phase == Phase::Ended; }

 private:
  enum class Phase : uint8_t {
    /// Head or trailers.
    Lines,
    ChunkSize,
    /// Whitespace after a chunk size.
    ChunkPadding,
    ChunkExtension,
    ChunkData,
    /// Line end after the data of a chunk.
    ChunkEnd,
    Ended
  };

  /// Consumes a complete line of a head or trailers at the front of the bytes.
  /// Returns its length; 0 if there is none.
  size_t ConsumeLine(std::string_view aBytes);
  /// Consumes one byte outside of chunk data.
  void ConsumeByte(char aByte);
  /// Whether the byte completes a line end.
  bool EndsLine(char aByte);
  /// Starts a line of a head or of trailers with its first byte.
  void BeginLine(char aByte);
  /// Checks the next part of that line against the grammar.
  void CheckLine(std::string_view aPart);
  void EndLine();
  /// Whether the current line is the first one of a request. http_parser checks
  /// its method and target.
  bool IsRequestLine() const {
    return this->isFirstLine && this->messages == HttpReaderKind::Request;
  }
  void OnSizeByte(char aByte);
  void EndSizeLine();

  HttpReaderKind messages;
  Phase phase = Phase::Lines;
  HttpLineGrammar grammar;
  /// Whether the current line is the first one of a head.
  bool isFirstLine = true;
  /// Whether empty lines are ignored, as before a start line.
  bool skipsEmptyLines = true;
  bool afterCr = false;
  /// Length of the current line so far, without the line end.
  size_t lineBytes = 0;
  /// Bytes of the current chunk that have not arrived yet.
  uint64_t chunkLeft = 0;
};

}  // namespace fescueline
