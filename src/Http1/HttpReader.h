#pragma once

#include <http_parser.h>

#include <cstdint>
#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Http1/HttpLineChecker.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Start line and header fields of a message, and the framing they specify.
struct HttpHead {
  /// Method of a request.
  std::string method;
  /// Request target: path and query.
  std::string target;
  /// Status of a response.
  int status = 0;
  /// Header fields in the order of the message.
  HttpHeaders headers;
  /// Body length in bytes; nothing if the body is chunked or ends with the
  /// connection.
  std::optional<uint64_t> length;
  /// Whether the body ends with the connection.
  bool endsAtClose = false;
  /// Whether the connection can be used for another message afterwards.
  bool keepAlive = false;
  /// Whether the sender accepts chunked bodies, which HTTP/1.0 does not
  /// support.
  bool acceptsChunked = false;
};

/// Incremental HTTP/1.1 parser based on http_parser. Stops after each message,
/// so that trailing bytes are never taken for a part of it. A message is
/// complete with its head if it has no body, otherwise with the last byte of
/// its length, the line end after the last chunk and trailers, or FinishAtEof.
/// Not thread-safe.
class HttpReader {
 public:
  /// Events in the order of the message.
  struct Events {
    /// Start line and headers. Returning false skips a response: its body and
    /// end are not reported.
    std::function<bool(HttpHead)> onHead;
    /// Part of the body: all of its bytes within one call of Feed. The view is
    /// valid during the call only.
    std::function<void(std::string_view)> onBody;
    /// The message is complete.
    std::function<void()> onEnd;
  };

  struct Settings {
    HttpReaderKind kind = HttpReaderKind::Request;
    /// Maximum size of start line and headers, bytes.
    size_t maxHeadBytes = size_t{16} * 1024;
    /// Maximum number of header fields and trailers. A frame between nodes may
    /// have 1,024 elements in an array; its receiver closes the connection if
    /// there are more.
    size_t maxFields = 500;
    /// Maximum number of interim responses before a final one. A server that
    /// reports progress every few seconds sends fewer within any deadline.
    size_t maxInterim = 100;
    /// Maximum number of responses that are skipped before one is accepted.
    /// Each is a duplicate response to an earlier request on the connection.
    size_t maxSkipped = 4;
    /// Maximum number of body bytes of skipped responses, which are read and
    /// discarded. Equals the longest body that is buffered for a caller. Longer
    /// ones may never end and would take processor time from other requests.
    uint64_t maxSkippedBytes = uint64_t{1} << 20;
    Events events;
  };

  explicit HttpReader(Settings aSettings);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Parses bytes up to the end of the current message and returns how many
  /// were consumed. Throws Error if they are not a valid HTTP message.
  size_t Feed(std::string_view aBytes);
  /// Signals the end of input; true if that completes a message. Like Feed, it
  /// passes on exceptions of the handlers.
  bool FinishAtEof();
  /// Whether the next response belongs to a HEAD request and so has no body.
  void ExpectNoBody(bool aNoBody) { this->noBody = aNoBody; }
  /// Whether a message has started and not ended.
  bool InMessage() const { return this->inMessage; }
  /// Approximate memory of the current head in bytes: its text, and for each
  /// field a pair of strings in a vector that grows by doubling. Trailers count
  /// as part of it.
  size_t HeadCost() const {
    constexpr size_t kFieldCost = 2 * sizeof(HttpHeader);
    return this->inMessage ? this->headBytes + this->fields * kFieldCost : 0;
  }
  /// Releases the memory of the current head, when no more bytes will be fed.
  void DropHead() {
    this->head = HttpHead{};
    this->headBytes = 0;
    this->fields = 0;
  }
  /// Whether the headers of the current message are complete.
  bool HasHead() const { return this->hasHead; }

 private:
  static HttpReader& Of(http_parser* aParser) {
    return *static_cast<HttpReader*>(aParser->data);
  }
  static const http_parser_settings& Callbacks();
  /// Runs a callback of http_parser. An exception must not pass through the
  /// frames of the C library, so it is kept for RethrowFailure.
  template <typename F>
  int Guard(F aCallback);
  void RethrowFailure();
  int OnHeadersComplete();
  int OnMessageComplete();
  /// Parses up to the end of a head, a chunked body or the message; returns the
  /// number of bytes consumed.
  size_t ParsePart(std::string_view aBytes);
  void AppendField(std::string_view aBytes);
  void AppendValue(std::string_view aBytes);
  /// Checks that http_parser does not make; returns the error, or an empty
  /// text if the head is valid.
  std::string_view ValidateHead();
  /// Trims whitespace after values; returns the error, or an empty text if the
  /// fields are valid.
  std::string_view ValidateFields();
  int OnBody(std::string_view aBytes);
  /// Reports the body bytes parsed so far.
  void FlushBody();
  /// Stops the parser if the head or the trailers are too large.
  int CheckHeadSize();

  Settings settings;
  http_parser parser{};
  /// Head of the current message.
  HttpHead head;
  /// Reason phrase of a response.
  std::string reason;
  HttpLineChecker lines;
  /// Why the message is rejected; empty if it is not.
  std::string_view fault;
  /// Exception of a handler, on its way past http_parser.
  std::exception_ptr failure;
  /// Body bytes that have not been reported: a part of the input, or all of
  /// joinedBody if there were several parts.
  std::string_view bodyPart;
  std::string joinedBody;
  /// Size of the head so far.
  size_t headBytes = 0;
  /// Number of header fields and trailers so far.
  size_t fields = 0;
  bool lastWasValue = false;
  bool inMessage = false;
  bool hasHead = false;
  /// Whether the current message has a chunked body.
  bool chunked = false;
  bool noBody = false;
  /// Whether the current response is not reported.
  bool skipped = false;
  /// Interim and skipped responses, and body bytes of the latter, since the
  /// last accepted response.
  size_t interimCount = 0;
  size_t skippedCount = 0;
  uint64_t skippedBytes = 0;
  /// Whether the last parser call completed a head or a message.
  bool headDone = false;
  bool messageDone = false;
  /// Whether the last Feed reached the end of a message that is not skipped.
  bool ended = false;
};

}  // namespace fescueline
