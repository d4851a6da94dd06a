#pragma once

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Core/Time.h"
#include "Http1/HttpReader.h"
#include "Http1/ResponseMatch.h"
#include "Http1/SentRequestIds.h"

namespace fescueline {

/// Result of an exchange on a client connection.
struct ClientExchangeResult {
  /// Whether a complete response arrived. A body with a length or chunks is
  /// complete at its own end. One without ends with the connection: it is
  /// complete only if the server closed orderly and the request had been
  /// written to its end.
  bool complete = false;
  /// Whether any byte of the request was passed to the socket.
  bool sent = false;
  /// Whether the connection can carry another request.
  bool reusable = false;
  /// Why the client closed a connection that the server keeps open; None if the
  /// verdict of onHead closed it.
  ResponseFault fault = ResponseFault::None;
  /// Trailing bytes received after the response; valid during onDone.
  std::string_view trailing;
  /// Error message; empty on success.
  std::string error;
};

/// Events of an exchange. onDone ends it and runs once.
struct ClientExchangeEvents {
  /// Status and headers of a response.
  std::function<ResponseVerdict(HttpHead)> onHead;
  std::function<void(std::string_view)> onBody;
  /// Optional. Called when the response is complete and the connection open,
  /// with all trailing bytes so far, and again when more of them arrive.
  /// Returns how long the exchange stays open for more of them; zero ends it.
  /// Only the first such limit counts.
  std::function<Duration(std::string_view aTrailing)> onComplete;
  std::function<void(const ClientExchangeResult&)> onDone;
};

/// Connection to an HTTP server with one request at a time. A read is always
/// outstanding, so that unsolicited bytes or a close end the connection while
/// it is idle. Everything runs on the loop's thread.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  /// aOnUnsolicited is called when unsolicited bytes close the idle connection.
  explicit HttpClientConnection(asio::io_context& aIo,
                                std::function<void()> aOnUnsolicited = {});

  /// Connects. aDone gets the error message, empty on success.
  void Connect(const asio::ip::tcp::endpoint& aPeer, Duration aTimeout,
               std::function<void(const std::string&)> aDone);
  /// Sends a complete request and reports its response. The connection must be
  /// idle. aNoBody: whether the response has no body, as for HEAD. aBody is
  /// sent after aBytes; both are released as soon as they are written.
  void Send(std::string aBytes, bool aNoBody, ClientExchangeEvents aEvents,
            std::string aBody = {});
  /// Pauses or resumes reading the response.
  void SetPaused(bool aPaused);
  /// Closes the connection; an exchange in progress ends with aReason.
  void Close(const std::string& aReason);

  bool IsOpen() const { return this->open; }
  /// Whether the connection is open and no exchange is in progress.
  bool IsIdle() const { return this->open && !this->busy; }
  /// Whether a request was sent before the current one.
  bool IsReused() const { return this->exchanges > 1; }
  /// Whether a response can only belong to the current request, since no other
  /// request was sent and no other response has arrived.
  bool IsExclusive() const { return !this->IsReused() && this->skipped == 0; }
  /// Set by the pool to recognise connections to a previous server.
  void SetGeneration(uint64_t aGeneration) { this->generation = aGeneration; }
  uint64_t Generation() const { return this->generation; }
  /// Request ids sent on the connection, updated by the owner.
  SentRequestIds& RequestIds() { return this->requestIds; }
  /// When the last exchange ended or the connection was established.
  TimePoint IdleSince() const { return this->idleSince; }
  /// The server's idle timeout, if it has announced one.
  std::optional<Duration> ServerIdleTimeout() const {
    return this->serverIdleTimeout;
  }

 private:
  HttpReader::Events ReaderEvents();
  bool OnHead(HttpHead aHead);
  /// Ends the exchange after a complete response, or lets it wait for more
  /// trailing bytes.
  void OnComplete(std::string_view aTrailing);
  /// Adds trailing bytes of a complete response whose exchange is still open.
  void OnTrailing(std::string_view aBytes);
  /// Ends the exchange after a complete response; aTrailing are the trailing
  /// bytes.
  void EndExchange(std::string_view aTrailing);
  void Read();
  void OnRead(const asio::error_code& aError, std::string_view aBytes);
  void Finish(const ClientExchangeResult& aResult);
  /// Handles the end of input; aError is `eof` or another error.
  void OnReadError(const asio::error_code& aError);
  /// Whether the end of input is an orderly close by the server. A failed write
  /// takes the error of a reset from the socket, and the next read reports
  /// `eof`.
  bool IsOrderlyEnd(const asio::error_code& aError) const {
    return aError == asio::error::eof && !this->writing && !this->writeFailed;
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer connectTimer;
  /// Limits the wait for trailing bytes.
  asio::steady_timer trailingTimer;
  HttpReader reader;
  /// Bytes of the request that is being written.
  std::array<std::string, 2> outgoing;
  ClientExchangeEvents events;
  std::function<void()> onUnsolicited;
  SentRequestIds requestIds;
  uint64_t generation = 0;
  /// Number of exchanges started.
  uint64_t exchanges = 0;
  bool open = false;
  bool busy = false;
  bool sent = false;
  bool reading = false;
  /// Whether part of the request has not been written yet.
  bool writing = false;
  /// Whether writing the request has failed.
  bool writeFailed = false;
  bool paused = false;
  /// Whether the response allows reuse of the connection.
  bool keepAlive = false;
  /// Whether onHead accepted the response in progress.
  bool accepted = false;
  /// Whether the accepted response is complete and its exchange still open.
  bool complete = false;
  /// Trailing bytes of that response.
  std::string trailing;
  /// Number of responses skipped in this exchange.
  size_t skipped = 0;
  /// Why the connection is to be closed after the current parser call; empty if
  /// it is not.
  std::string closeReason;
  ResponseFault fault = ResponseFault::None;
  /// Whether a HEAD request was sent on the connection. A late duplicate of its
  /// response has a length but no body.
  bool hadHeadRequest = false;
  TimePoint idleSince{};
  std::optional<Duration> serverIdleTimeout;
};

}  // namespace fescueline
