#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Transport/HttpMessage.h"

namespace fescueline {

/// One request on an HTTP listener and its response. All methods may be
/// called from any thread. If it is dropped without a response, the caller
/// gets status 500.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// The request; the receiver may take parts of it.
  virtual HttpRequest& Request() = 0;
  /// Sets the function that runs when the caller's connection ends before the
  /// response does; runs at once if it has ended already.
  virtual void OnAbort(std::function<void()> aAbort) = 0;
  /// Sends a complete response. `aOnSent` runs when its last byte has left for
  /// the socket or the connection has failed.
  virtual void Respond(HttpResponse aResponse,
                       std::function<void()> aOnSent = {}) = 0;
  /// Starts a streamed response. Without a length the body is chunked.
  virtual void StartStream(int aStatus, HttpHeaders aHeaders,
                           std::optional<uint64_t> aContentLength) = 0;
  /// Sends part of the body; `aOnWritten` runs when the part has left for the
  /// socket or the connection has failed.
  virtual void Write(std::string aData, std::function<void()> aOnWritten) = 0;
  /// Ends a streamed response. If it is not complete, the connection closes
  /// without the end mark, so that the caller sees a broken response.
  virtual void EndStream(bool aComplete,
                         std::function<void()> aOnSent = {}) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// HTTP listener on RESTinio. Handlers run on the worker pool.
class HttpServer {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    /// IP address to listen on.
    std::string host;
    /// TCP port; 0 picks one.
    uint16_t port = 0;
    /// Longest request body, bytes. Longer ones close the connection.
    size_t maxBody = size_t{1024} * 1024;
    /// Called for each request; must not block.
    std::function<void(HttpExchangePtr)> onRequest;
  };

  /// Binds the listener. Throws Error if that fails.
  explicit HttpServer(Settings aSettings);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// Port that was bound.
  uint16_t Port() const;
  /// Stops accepting connections soon; open exchanges go on, and responses
  /// close their connections. The io_context
  /// must be running, and stopped before the server is destroyed.
  void StopAccepting();

 private:
  struct Impl;
  /// RESTinio server; hidden since its headers are slow to compile.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
