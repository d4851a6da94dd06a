#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Http1/HttpReader.h"
#include "Http1/HttpWriter.h"
#include "Http1/LoopHttpServer.h"
#include "Http1/ShedPolicy.h"

namespace fescueline {

/// Connection of one caller. Requests are handled one after the other; the
/// bytes of later ones are buffered. Everything runs on the loop's thread.
class LoopHttpConnection
    : public std::enable_shared_from_this<LoopHttpConnection> {
 public:
  LoopHttpConnection(LoopHttpServer& aServer, asio::ip::tcp::socket aSocket);

  void Start();
  /// Closes the connection and aborts its request.
  void Close();
  /// Refuses the request that is being received, which then has not run, and
  /// closes the connection.
  void Shed();
  CallerLoad Load() const;

  bool HasUnsentBytes() const { return !this->writes.empty(); }
  /// When the connection is closed unless it makes progress.
  std::optional<TimePoint> Deadline() const;

  /// Called by the exchange with the given number. Calls of exchanges that have
  /// ended have no effect.
  void Respond(uint64_t aExchange, const HttpResponse& aResponse,
               std::function<void()> aOnSent);
  void StartStream(uint64_t aExchange, int aStatus, const HttpHeaders& aHeaders,
                   std::optional<uint64_t> aLength);
  void Write(uint64_t aExchange, const std::string& aData,
             std::function<void()> aOnWritten);
  void EndStream(uint64_t aExchange, bool aComplete,
                 std::function<void()> aOnSent);
  void OnAbort(uint64_t aExchange, std::function<void()> aAbort);

 private:
  /// Progress of the response of the current exchange.
  enum class ResponseState : uint8_t { None, Streaming, Ended };

  struct PendingWrite {
    std::string bytes;
    std::function<void()> onWritten;
  };

  /// Whether the exchange is the current one and its response has not ended.
  bool IsCurrent(uint64_t aExchange) const {
    return this->busy && aExchange == this->exchange && !this->closed &&
           this->responseState != ResponseState::Ended;
  }
  HttpReader::Events ReaderEvents();
  bool OnHead(HttpHead aHead);
  void OnBody(std::string_view aPart);
  void OnRequest();
  void Read();
  void OnRead(const asio::error_code& aError, std::string_view aBytes);
  void Parse();
  /// Responds to a request that is malformed or refused, drops what has
  /// arrived, then closes.
  void Reject(int aStatus);
  /// Releases the bytes of the request that is being received.
  void DropReceived();
  /// Reports the bytes held for the caller to the budget.
  void UpdateHeld();
  void Queue(std::string aBytes, std::function<void()> aOnWritten);
  void WriteNext();
  /// Chooses the framing of a streamed response.
  HttpFraming StreamFraming(int aStatus, std::optional<uint64_t> aLength);
  /// Closes the connection because a response does not match its head.
  void CloseOnMismatch(std::string_view aWhat);
  /// Selects whether closing the socket resets the connection.
  void SetResetOnClose(bool aReset);
  /// Called when the last byte of the response has been written.
  void OnResponseSent();
  /// Closes after the caller has had time to read the response. Closing with
  /// unread input would reset the connection and could discard the response.
  void LingerAndClose();

  LoopHttpServer& server;
  asio::ip::tcp::socket socket;
  asio::ip::address address;
  HeldBytes held;
  HttpReader reader;
  /// Received bytes that have not been parsed.
  std::string inbox;
  /// Request that is being received, and the cost of its head in bytes.
  HttpRequest request;
  size_t headCost = 0;
  /// Number of the current exchange.
  uint64_t exchange = 0;
  /// Whether an exchange is in progress.
  bool busy = false;
  bool requestKeepAlive = false;
  bool isHeadRequest = false;
  bool acceptsChunked = false;
  ResponseState responseState = ResponseState::None;
  /// Whether the response in progress is chunked.
  bool chunked = false;
  /// Whether the response in progress has no body.
  bool bodiless = false;
  /// Whether the close of the connection ends the body.
  bool bodyEndsAtClose = false;
  /// Remaining bytes of a body with a length.
  std::optional<uint64_t> bodyLeft;
  bool closeAfterResponse = false;
  bool reading = false;
  bool lingering = false;
  bool closed = false;
  std::function<void()> abort;
  std::deque<PendingWrite> writes;
  /// Bytes in `writes`.
  size_t unwritten = 0;
  bool writing = false;
  /// Last time that message bytes were transferred or a request ended.
  TimePoint lastProgress;
  /// When the first byte of the current request arrived.
  TimePoint requestStart{};
};

}  // namespace fescueline
