#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fescueline {

/// Checks the line structure of heads and chunked bodies. http_parser, as
/// distributions build it, takes any byte after a CR for the end of the line
/// and any two bytes for the end of a chunk, so that damaged messages read as
/// whole ones. One thread.
class HttpLineChecker {
 public:
  /// Expects a head, perhaps after empty lines.
  void BeginHead();
  /// Expects a chunked body and its trailers.
  void BeginChunks();
  /// Checks bytes up to the end of the head, or of the chunked body, and
  /// returns their number. Throws Error if a line is malformed.
  size_t Check(std::string_view aBytes);
  /// Whether the head or chunked body has ended.
  bool HasEnded() const { return this->phase == Phase::Ended; }

 private:
  enum class Phase : uint8_t {
    /// Head or trailers.
    Lines,
    /// Digits of a chunk size.
    ChunkSize,
    /// White space behind a chunk size.
    ChunkPadding,
    ChunkExtension,
    ChunkData,
    /// Line end behind the data of a chunk.
    ChunkEnd,
    Ended
  };

  /// Whole line of a head or trailers at the front of the bytes; 0 if there
  /// is none.
  size_t TakeLine(std::string_view aBytes);
  /// One byte outside of chunk data.
  void Take(char aByte);
  /// Whether the byte completes a line end.
  bool EndsLine(char aByte);
  void TakeLineByte(char aByte);
  void EndLine();
  void TakeSizeByte(char aByte);
  void EndSizeLine();

  Phase phase = Phase::Lines;
  /// Whether empty lines are to be skipped, as before a start line.
  bool skipsEmpty = true;
  bool afterCr = false;
  /// Bytes of the present line, without its end.
  size_t lineBytes = 0;
  /// Bytes of the present chunk that have not arrived.
  uint64_t chunkLeft = 0;
};

}  // namespace fescueline
