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

namespace fescueline {

/// One caller's connection. Requests are handled one after the other; bytes
/// of later ones wait. Everything runs on the loop's thread.
class LoopHttpConnection
    : public std::enable_shared_from_this<LoopHttpConnection> {
 public:
  LoopHttpConnection(LoopHttpServer& aServer, asio::ip::tcp::socket aSocket);

  void Start();
  /// Closes the connection and aborts its request.
  void Close();

  /// When the connection is to be closed for lack of progress.
  std::optional<TimePoint> Deadline() const;

  /// Used by the exchange with the given number; calls of exchanges that have
  /// ended do nothing.
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
  /// How far the response of the current exchange is.
  enum class ResponseState : uint8_t { None, Streaming, Ended };

  struct PendingWrite {
    std::string bytes;
    std::function<void()> onWritten;
  };

  /// Whether the exchange has a response to begin or to go on with.
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
  /// Answers a request that can't be parsed or is too long, then closes.
  void Reject(int aStatus);
  void Queue(std::string aBytes, std::function<void()> aOnWritten);
  void WriteNext();
  /// How the body of a streamed response is delimited.
  HttpFraming StreamFraming(int aStatus, std::optional<uint64_t> aLength);
  /// Closes the connection over a response that does not fit its head.
  void BreakOff(std::string_view aWhat);
  /// Whether the kernel resets the connection when it is closed.
  void SetResetOnClose(bool aReset);
  /// Runs when the response's last byte has left.
  void OnResponseSent();
  /// Closes after the peer has had time to read the response: closing with
  /// unread input would reset the connection under it.
  void LingerAndClose();

  LoopHttpServer& server;
  asio::ip::tcp::socket socket;
  HttpReader reader;
  /// Received bytes that are not parsed yet.
  std::string inbox;
  /// Request being received, then in progress.
  HttpRequest request;
  /// Number of the current exchange.
  uint64_t exchange = 0;
  /// Whether an exchange is in progress.
  bool busy = false;
  bool requestKeepAlive = false;
  bool headRequest = false;
  bool readsChunks = false;
  ResponseState responseState = ResponseState::None;
  /// Whether the response in progress is chunked.
  bool chunked = false;
  /// Whether the response in progress has no body.
  bool bodiless = false;
  /// Whether the end of the connection is that of the body.
  bool untilClose = false;
  /// Bytes of a body with a length that are still to come.
  std::optional<uint64_t> bodyLeft;
  bool closeAfter = false;
  bool reading = false;
  bool lingering = false;
  bool closed = false;
  std::function<void()> abort;
  std::deque<PendingWrite> writes;
  bool writing = false;
  /// Last time that bytes of a message moved or a request ended.
  TimePoint lastProgress;
  /// When the first byte of the present request arrived.
  TimePoint requestSince{};
};

}  // namespace fescueline
