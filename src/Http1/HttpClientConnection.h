#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Core/Time.h"
#include "Http1/CarriedIds.h"
#include "Http1/HttpReader.h"
#include "Http1/ResponseMatch.h"

namespace fescueline {

/// How an exchange on a client connection ended.
struct ClientExchangeResult {
  /// Whether a complete response arrived.
  bool complete = false;
  /// Whether any byte of the request was handed to the socket.
  bool sent = false;
  /// Whether the connection can carry another request.
  bool reusable = false;
  /// Why the connection was closed although its server keeps it; None if
  /// onHead said so.
  ResponseFault fault = ResponseFault::None;
  /// Bytes right behind the response; valid during onDone.
  std::string_view trailing;
  /// What went wrong; empty if nothing did.
  std::string error;
};

/// Events of an exchange. onDone ends it and runs once.
struct ClientExchangeEvents {
  /// Status and headers of a response.
  std::function<ResponseVerdict(HttpHead)> onHead;
  std::function<void(std::string_view)> onBody;
  std::function<void(const ClientExchangeResult&)> onDone;
};

/// Connection to an HTTP server that carries one request at a time. A read is
/// always outstanding, so bytes or a close that arrive while it is idle are
/// seen and end it. Everything runs on the loop's thread.
class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection> {
 public:
  /// aOnUnsolicited is told of bytes that end the connection while it is idle.
  explicit HttpClientConnection(asio::io_context& aIo,
                                std::function<void()> aOnUnsolicited = {});

  /// Connects; aDone gets an empty text or the error.
  void Connect(const asio::ip::tcp::endpoint& aPeer, Duration aTimeout,
               std::function<void(const std::string&)> aDone);
  /// Sends a complete request and reports its response. The connection must be
  /// idle.
  void Send(std::string aBytes, bool aNoBody, ClientExchangeEvents aEvents);
  /// Stops or resumes reading the response.
  void SetPaused(bool aPaused);
  /// Closes the connection; an exchange in progress ends with aReason.
  void Close(const std::string& aReason);

  bool IsOpen() const { return this->open; }
  /// Whether the connection is open and carries nothing.
  bool IsIdle() const { return this->open && !this->busy; }
  /// Whether the connection has carried a request before the present one.
  bool IsReused() const { return this->exchanges > 1; }
  /// Whether a response can only answer the request in progress: there was no
  /// other request, and no other response.
  bool IsExclusive() const { return !this->IsReused() && this->skipped == 0; }
  /// What its pool tells connections to different servers by.
  void SetGeneration(uint64_t aGeneration) { this->generation = aGeneration; }
  uint64_t Generation() const { return this->generation; }
  /// Identifiers of its requests, kept by the owner.
  CarriedIds& Carried() { return this->carried; }
  /// When the last exchange ended or the connection was made.
  TimePoint IdleSince() const { return this->idleSince; }
  /// How long the server keeps an idle connection, if it has said so.
  std::optional<Duration> ServerIdleTimeout() const {
    return this->serverIdleTimeout;
  }

 private:
  HttpReader::Events ReaderEvents();
  bool OnHead(HttpHead aHead);
  /// Ends the exchange behind a complete response; aTrailing follows it.
  void EndExchange(std::string_view aTrailing);
  void Read();
  void OnRead(const asio::error_code& aError, std::string_view aBytes);
  void Finish(const ClientExchangeResult& aResult);

  asio::ip::tcp::socket socket;
  asio::steady_timer connectTimer;
  HttpReader reader;
  std::string outgoing;
  ClientExchangeEvents events;
  std::function<void()> onUnsolicited;
  CarriedIds carried;
  uint64_t generation = 0;
  /// Exchanges begun.
  uint64_t exchanges = 0;
  bool open = false;
  bool busy = false;
  bool sent = false;
  bool reading = false;
  /// Whether a part of the request is not written yet.
  bool writing = false;
  bool paused = false;
  /// Whether the response allows another request.
  bool keepAlive = false;
  /// Whether the response in progress was accepted by onHead.
  bool accepted = false;
  /// Whether the accepted response is complete.
  bool complete = false;
  /// Responses skipped in this exchange.
  size_t skipped = 0;
  /// Why the connection is closed behind the bytes being parsed; empty if it
  /// is not.
  std::string giveUpReason;
  ResponseFault fault = ResponseFault::None;
  /// Whether a request was answered without a body: a late copy of such an
  /// answer looks as if one followed.
  bool hadBodiless = false;
  TimePoint idleSince{};
  std::optional<Duration> serverIdleTimeout;
};

}  // namespace fescueline
