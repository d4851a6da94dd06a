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
  /// Whether the transfer's time limit ended it.
  bool timedOut = false;
  /// What went wrong; empty if nothing did.
  std::string error;
};

/// Events of a transfer; all run on the client's thread and must not block.
struct HttpTransferHandlers {
  /// Final status, headers and body length (-1 if unknown).
  std::function<void(int aStatus, HttpHeaders aHeaders, int64_t aLength)>
      onHead;
  /// Part of the body.
  std::function<void(std::string aData)> onData;
  /// End of the transfer; always called, once.
  std::function<void(const HttpTransferResult&)> onDone;
};

/// What to send.
struct HttpTransferRequest {
  /// Absolute URL with an IP address.
  std::string url;
  std::string method = "GET";
  HttpHeaders headers;
  std::string body;
  /// Time limit of the whole transfer.
  Duration timeout = std::chrono::seconds(10);
  /// Time limit of the TCP connection.
  Duration connectTimeout = std::chrono::milliseconds(500);
  /// Uses a connection of its own, so that a close of an idle connection by
  /// the server cannot make the outcome unknown.
  bool freshConnection = false;
  /// Header of the request that the server may repeat in its response. A
  /// response with another value belongs to another request and fails the
  /// transfer; after a response without it the connection is not used again,
  /// since a second response on it could not be told apart. Nothing if the
  /// server is known to write one response to each request.
  std::optional<HttpHeader> identity;
  /// Body bytes that may arrive before Credit is called; negative for no limit.
  int64_t credit = -1;
  /// Asked on the client's thread right before the first byte is sent, so that
  /// little time passes between a check and the request that rests on it.
  std::function<bool()> maySend;
};

/// Asynchronous HTTP/1.1 client on libcurl with one thread. A request is sent
/// at most once: libcurl's own resend on a reused connection is prevented.
/// Any thread may call the methods.
class HttpClient {
 public:
  HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  /// Ends all transfers and the thread.
  ~HttpClient();

  /// Starts a transfer and returns its number.
  uint64_t Start(HttpTransferRequest aRequest, HttpTransferHandlers aHandlers);
  /// Allows more body bytes.
  void Credit(uint64_t aTransfer, int64_t aBytes);
  /// Ends a transfer; onDone reports an error unless it is done already.
  void Cancel(uint64_t aTransfer);

 private:
  struct Impl;
  /// libcurl state; hidden to keep its headers local.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
