#pragma once

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "Http1/HttpLineChecker.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Start line and header fields of a message, and what they say of its body.
struct HttpHead {
  /// Method of a request.
  std::string method;
  /// Request target: path and query.
  std::string target;
  /// Status of a response.
  int status = 0;
  /// Header fields in the order of the message.
  HttpHeaders headers;
  /// Body length in bytes; nothing if it is chunked or ends with the
  /// connection.
  std::optional<uint64_t> length;
  /// Whether the connection can carry another message afterwards.
  bool keepAlive = false;
  /// Whether the sender reads chunked bodies, which HTTP/1.0 does not have.
  bool readsChunks = false;
};

/// Which side's messages a reader parses.
enum class HttpReaderKind : uint8_t { Request, Response };

/// Incremental HTTP/1.1 parser on http_parser. Stops after each message, so
/// that bytes behind it are never taken for a part of it. One thread.
class HttpReader {
 public:
  /// Events in the order of the message.
  struct Events {
    /// Start line and headers. A response may be skipped by returning false;
    /// its body and end are then not reported.
    std::function<bool(HttpHead)> onHead;
    /// Part of the body.
    std::function<void(std::string_view)> onBody;
    /// The message is complete.
    std::function<void()> onEnd;
  };

  /// Construction parameters.
  struct Settings {
    HttpReaderKind kind = HttpReaderKind::Request;
    /// Longest start line and headers, bytes.
    size_t maxHeadBytes = size_t{16} * 1024;
    /// Most header fields and trailers. A frame between nodes takes 1,024
    /// elements in a list, and its receiver closes the connection over more.
    size_t maxFields = 500;
    /// Most interim responses before a final one. A server that reports its
    /// progress every few seconds sends fewer within any deadline.
    size_t maxInterim = 100;
    /// Most responses that are skipped before one is accepted. Each answers an
    /// earlier request of the connection that its server answered twice.
    size_t maxSkipped = 4;
    /// Most body bytes of skipped responses, which are read to get past them:
    /// as long as the longest body that is held for a caller. More may never
    /// end, and must not take the processor from other requests.
    uint64_t maxSkippedBytes = uint64_t{1} << 20;
    Events events;
  };

  explicit HttpReader(Settings aSettings);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  /// Parses bytes up to the end of the current message and returns how many
  /// were used. Throws Error if they are no HTTP message.
  size_t Feed(std::string_view aBytes);
  /// Reports the end of input; true if that ends a message properly.
  bool FinishAtEof();
  /// The next response answers a HEAD request and has no body.
  void ExpectNoBody(bool aNoBody) { this->noBody = aNoBody; }
  /// Whether a message has begun and not ended.
  bool InMessage() const { return this->inMessage; }
  /// Whether the headers of the current message are complete.
  bool HasHead() const { return this->hasHead; }

 private:
  static HttpReader& Of(http_parser* aParser) {
    return *static_cast<HttpReader*>(aParser->data);
  }
  static const http_parser_settings& Callbacks();
  int OnHeadersComplete();
  int OnMessageComplete();
  /// Parses up to the end of a head, a chunked body or the message.
  size_t FeedPart(std::string_view aBytes);
  void AppendField(std::string_view aBytes);
  void AppendValue(std::string_view aBytes);
  /// Refuses a head that http_parser takes; empty if there is no reason to.
  std::string_view FaultOfHead();
  /// Drops white space around names and values; why they are refused.
  std::string_view FaultOfFields();
  int OnBody(std::string_view aBytes);
  /// Tells the parser to stop once the head or the trailers are too large.
  int CheckHeadSize();

  Settings settings;
  http_parser parser{};
  /// Head being collected.
  HttpHead head;
  /// Reason phrase of a response.
  std::string reason;
  HttpLineChecker lines;
  /// Why the message is refused; empty if it is not.
  std::string_view fault;
  /// Bytes of the head so far.
  size_t headBytes = 0;
  /// Fields of the head and the trailers so far.
  size_t fields = 0;
  bool lastWasValue = false;
  bool inMessage = false;
  bool hasHead = false;
  /// Whether the current message has a chunked body.
  bool chunked = false;
  bool noBody = false;
  /// Whether the current response is not reported.
  bool skipped = false;
  /// What was skipped since the last response that was accepted.
  size_t interimCount = 0;
  size_t skippedCount = 0;
  uint64_t skippedBytes = 0;
  /// Whether the bytes that were parsed last completed a head or a message.
  bool headDone = false;
  bool messageDone = false;
  /// Whether the last Feed reached the end of a message that is reported.
  bool ended = false;
};

}  // namespace fescueline
