#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Transport/HttpMessage.h"

namespace fescueline {

/// One request on an HTTP listener and its response. If it is destroyed without
/// a response, the caller gets status 500. On an HttpServer, any thread may
/// call the methods.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// The request; the handler may move parts out of it.
  virtual HttpRequest& Request() = 0;
  /// Sets the function that runs when the caller's connection ends before the
  /// response is complete. Runs it immediately if the connection has ended
  /// already.
  virtual void OnAbort(std::function<void()> aAbort) = 0;
  /// Sends a complete response. `aOnSent` runs when its last byte has been
  /// written to the socket or the connection has failed.
  virtual void Respond(HttpResponse aResponse,
                       std::function<void()> aOnSent = {}) = 0;
  /// Starts a streamed response. The body is chunked if no length is given.
  virtual void StartStream(int aStatus, HttpHeaders aHeaders,
                           std::optional<uint64_t> aContentLength) = 0;
  /// Sends part of the body. `aOnWritten` runs when the part has been written
  /// to the socket or the connection has failed.
  virtual void Write(std::string aData, std::function<void()> aOnWritten) = 0;
  /// Ends a streamed response. If it is not complete, the connection closes
  /// without the last chunk, so that the caller sees a truncated response.
  virtual void EndStream(bool aComplete,
                         std::function<void()> aOnSent = {}) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// HTTP listener on RESTinio. Handlers run on the worker pool.
class HttpServer {
 public:
  struct Settings {
    asio::io_context& io;
    /// IP address to listen on.
    std::string host;
    /// TCP port; 0 lets the kernel choose one.
    uint16_t port = 0;
    /// Maximum request body size, bytes. Longer bodies close the connection.
    size_t maxBody = size_t{1024} * 1024;
    /// Called for each request; must not block.
    std::function<void(HttpExchangePtr)> onRequest;
  };

  /// Binds the listener. Throws Error on failure.
  explicit HttpServer(Settings aSettings);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  uint16_t Port() const;
  /// Stops accepting connections, asynchronously. Open exchanges continue, and
  /// their responses close the connections. The io_context must be running, and
  /// must be stopped before the server is destroyed.
  void StopAccepting();

 private:
  struct Impl;
  /// RESTinio server, kept out of the header since it is slow to compile.
  std::unique_ptr<Impl> impl;
};

}  // namespace fescueline
