#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fescueline {

/// Checks the line structure of heads and chunked bodies. http_parser, as built
/// by distributions, accepts any byte after a CR as the end of a line and any
/// two bytes as the end of a chunk, so that damaged messages parse as complete
/// ones. Not thread-safe.
class HttpLineChecker {
 public:
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
  void OnLineByte(char aByte);
  void EndLine();
  void OnSizeByte(char aByte);
  void EndSizeLine();

  Phase phase = Phase::Lines;
  /// Whether empty lines are ignored, as before a start line.
  bool skipsEmptyLines = true;
  bool afterCr = false;
  /// Length of the current line so far, without the line end.
  size_t lineBytes = 0;
  /// Bytes of the current chunk that have not arrived yet.
  uint64_t chunkLeft = 0;
};

}  // namespace fescueline
