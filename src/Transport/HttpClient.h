#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Core/Time.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// How a transfer ended.
struct HttpTransferResult {
  /// Whether the complete response arrived.
  bool complete = false;
  /// Whether the server may have received any byte of the request.
  bool mayHaveBeenSent = false;
  /// Whether `maySend` refused the send before its first byte.
  bool sendRefused = false;
  /// Whether the transfer ended because its timeout expired.
  bool timedOut = false;
  /// Error message; empty on success.
  std::string error;
};

/// Events of a transfer; all run on the client's thread and must not block.
struct HttpTransferHandlers {
  /// Final status, headers and body length (-1 if unknown).
  std::function<void(int aStatus, HttpHeaders aHeaders, int64_t aLength)>
      onHead;
  /// Part of the body.
  std::function<void(std::string aData)> onData;
  /// End of the transfer. Called exactly once.
  std::function<void(const HttpTransferResult&)> onDone;
};

struct HttpTransferRequest {
  /// Absolute URL with an IP address.
  std::string url;
  std::string method = "GET";
  HttpHeaders headers;
  std::string body;
  /// Timeout of the whole transfer.
  Duration timeout = std::chrono::seconds(10);
  /// Timeout for establishing the TCP connection.
  Duration connectTimeout = std::chrono::milliseconds(500);
  /// Uses a new connection, which is not reused afterwards. The server may
  /// close an idle connection while a request is being sent on it, which makes
  /// the outcome unknown.
  bool freshConnection = false;
  /// Header with the request id, which the server may echo in its response. A
  /// response with another value belongs to another request and fails the
  /// transfer. After a response without the header the connection is not
  /// reused, since a duplicate of that response could not be recognised.
  /// Nothing if the server is known to send one response to each request.
  std::optional<HttpHeader> idHeader;
  /// Body bytes that may be delivered before Credit is called; negative for no
  /// limit.
  int64_t credit = -1;
  /// Called on the client's thread right before the first byte is sent, so that
  /// little time passes between the check and the request that depends on it.
  /// False refuses the send.
  std::function<bool()> maySend;
};

/// Asynchronous HTTP/1.1 client on libcurl with one thread. A request is sent
/// at most once: libcurl's automatic retry on a reused connection is disabled.
/// Thread-safe.
class HttpClient {
 public:
  HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// Cancels all transfers and joins the thread.
  ~HttpClient();

  /// Starts a transfer and returns its id.
  uint64_t Start(HttpTransferRequest aRequest, HttpTransferHandlers aHandlers);
  /// Allows more body bytes.
  void Credit(uint64_t aTransfer, int64_t aBytes);
  /// Cancels a transfer; onDone reports an error unless it has run already.
  void Cancel(uint64_t aTransfer);

 private:
  struct Impl;
  /// libcurl state, kept out of the header.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
