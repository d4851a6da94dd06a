#pragma once

#include <doctest/doctest.h>

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Http1/RawPeer.h"
#include "Log/Log.h"
#include "Mesh/EntrySide.h"
#include "Mesh/TargetService.h"
#include "Transport/PeerServer.h"
#include "Transport/Sockets.h"

namespace fescueline::test {

/// Target's end of a connection from a node. The test acts as the target.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  explicit TargetConnection(asio::ip::tcp::socket aSocket)
      : socket(std::move(aSocket)) {}

  /// Calls aOnRequest for each request. Requests must not have a body, unless
  /// aBytes is set: then the call follows the first aBytes bytes of the body of
  /// the first request, and no more is read.
  void Serve(
      std::function<void(TargetConnection&, const std::string&)> aOnRequest,
      size_t aBytes = 0) {
    this->onRequest = std::move(aOnRequest);
    this->bodyBytes = aBytes;
    this->Read();
  }
  /// Writes bytes; aDone runs when all of them have been sent.
  void Send(std::string aBytes, std::function<void()> aDone = {}) {
    const auto bytes = std::make_shared<std::string>(std::move(aBytes));
    asio::async_write(
        this->socket, asio::buffer(*bytes),
        [self = this->shared_from_this(), bytes, done = std::move(aDone)](
            const asio::error_code& aError, size_t aSize) {
          self->written += aSize;
          if (!aError && done) {
            done();
          }
        });
  }
  /// Writes a piece repeatedly, with a pause after each.
  void SendRepeatedly(const std::string& aPiece,
                      std::chrono::milliseconds aPause) {
    this->Send(aPiece, [this, aPiece, aPause] {
      this->timer.expires_after(aPause);
      this->timer.async_wait([self = this->shared_from_this(), aPiece,
                              aPause](const asio::error_code& aError) {
        if (!aError && !self->closed) {
          self->SendRepeatedly(aPiece, aPause);
        }
      });
    });
  }
  void Close() { CloseSocket(this->socket); }
  /// Closes the connection with a TCP reset.
  void Reset() { ResetSocket(this->socket); }

  /// Whether the node has closed the connection.
  bool closed = false;
  /// Number of bytes sent.
  uint64_t written = 0;

 private:
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [self = this->shared_from_this()](const asio::error_code& aError,
                                          size_t aSize) {
          if (aError) {
            self->closed = true;
            self->timer.cancel();
            return;
          }
          self->received.append(self->buffer.data(), aSize);
          if (self->bodyBytes > 0) {
            self->ReadBody();
            return;
          }
          if (self->received.ends_with("\r\n\r\n")) {
            self->onRequest(*self, std::exchange(self->received, {}));
          }
          self->Read();
        });
  }

  /// Continues to read until bodyBytes bytes of the body have arrived.
  void ReadBody() {
    const size_t head = this->received.find("\r\n\r\n");
    if (head == std::string::npos ||
        this->received.size() < head + 4 + this->bodyBytes) {
      this->Read();
    } else {
      this->onRequest(*this, this->received);
    }
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer{this->socket.get_executor()};
  std::function<void(TargetConnection&, const std::string&)> onRequest;
  size_t bodyBytes = 0;
  std::string received;
  std::array<char, 4096> buffer{};
};

/// A response as received by a caller, parsed independently of the code under
/// test.
struct ReceivedResponse {
  int status = 0;
  std::string body;
  bool complete = false;

  /// aEnded: the connection was closed without a reset.
  static ReceivedResponse Of(const std::string& aBytes, bool aHeadRequest,
                             bool aEnded) {
    ReceivedResponse seen;
    const size_t end = aBytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      return seen;
    }
    const std::string head = aBytes.substr(0, end + 2);
    const std::string rest = aBytes.substr(end + 4);
    seen.status = std::stoi(head.substr(9, 3));
    const size_t length = head.find("\r\nContent-Length: ");
    if (aHeadRequest || seen.status == 204 || seen.status == 304) {
      seen.complete = rest.empty();
    } else if (length != std::string::npos) {
      seen.body = rest;
      seen.complete = rest.size() == std::stoull(head.substr(length + 18));
    } else if (head.find("\r\nTransfer-Encoding: chunked") !=
               std::string::npos) {
      seen.complete = seen.TakeChunks(rest);
    } else {
      seen.body = rest;
      seen.complete = aEnded;
    }
    return seen;
  }

 private:
  /// Decodes chunks; returns whether the last chunk ends the bytes.
  bool TakeChunks(const std::string& aBytes) {
    size_t at = 0;
    while (true) {
      const size_t line = aBytes.find("\r\n", at);
      if (line == std::string::npos) {
        return false;
      }
      const size_t size = std::stoul(aBytes.substr(at, line - at), nullptr, 16);
      if (size == 0) {
        return aBytes.substr(line) == "\r\n\r\n";
      }
      this->body += aBytes.substr(line + 2, size);
      at = line + 2 + size + 2;
      if (at > aBytes.size()) {
        return false;
      }
    }
  }
};

/// Path of a request through two nodes, the entry node and the target's node.
/// The test acts as the target. All run on one event loop.
class TargetPath {
 public:
  using OnRequest =
      std::function<void(TargetConnection&, const std::string& aRequest)>;

  explicit TargetPath(OnRequest aOnRequest) : onRequest(std::move(aOnRequest)) {
    DisableLog();
    this->Accept();
    this->target.OnReport({.id = "t1",
                           .startedAt = 1,
                           .sequence = 1,
                           .service = "fees",
                           .slots = 50},
                          SteadyClock().Now());
    REQUIRE(this->target.OnProbe("t1", std::nullopt, Duration::zero(),
                                 SteadyClock().Now()));
    this->targets.OnTargetChanged();
    this->peers.Start();
    this->entry.AddMember("n1", this->peers.Port());
    REQUIRE(RunPromptly(
        this->io, [this] { return this->entry.fleet.UsableTargets() == 1; }));
    this->entry.callers.Start();
  }
  ~TargetPath() {
    this->entry.fleet.CloseAll();
    this->peers.CloseSessions("end of the test");
    RunPromptly(
        this->io, [] { return false; }, std::chrono::milliseconds(50));
  }
  TargetPath(const TargetPath&) = delete;
  TargetPath& operator=(const TargetPath&) = delete;

  /// Text of a request. Routes below /safe/ are idempotent.
  static std::string Request(const std::string& aMethod,
                             const std::string& aPath, const std::string& aId,
                             const std::string& aFields = {},
                             const std::string& aVersion = "1.1") {
    return aMethod + " " + aPath + " HTTP/" + aVersion +
           "\r\nHost: h\r\nX-Id: " + aId + "\r\n" + aFields + "\r\n";
  }
  /// Makes connections to the target hold few bytes that the target has not
  /// read: small segments limit the sender's buffer, a small buffer the
  /// receiver's.
  void UseSmallWindows() {
    using MaxSegment =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    this->acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    this->acceptor.set_option(MaxSegment(1448));
  }
  /// Opens a caller's connection that lives as long as this object.
  RawPeer& NewCaller() {
    RawPeer& caller = this->callerPeers.emplace_back(this->io);
    caller.Connect(this->entry.callers.Port());
    return caller;
  }
  /// Number of requests that are queued or running at the target's node.
  size_t Open() const { return this->targets.Open(); }
  /// Whether the target's node has counted responses with that fault.
  bool CountsFault(ResponseFault aFault) const {
    return Contains(this->entry.metrics.Page(),
                    "fault=\"" + std::string(ToName(aFault)) + "\"");
  }
  /// Share of requests that failed at the target itself, as sent to peers.
  uint32_t ReportedFailureRate() const {
    return this->targets.State().failureRate;
  }

  asio::io_context io{1};
  /// Whether the frame of each request is delivered twice.
  bool sendsTwice = false;
  /// If not 0, the target is called after that many bytes of a request's body;
  /// see TargetConnection::Serve.
  size_t requestBytes = 0;
  /// Connections to the target, in the order in which they were opened.
  std::vector<std::shared_ptr<TargetConnection>> connections;

 private:
  static MeshConfigPtr Routes(const std::string&) {
    MeshConfig::Content content{.version = 1};
    for (const bool safe : {true, false}) {
      MeshRoute route;
      route.name = safe ? "lookup" : "filing";
      route.host = "h";
      route.prefix = safe ? "/safe/" : "/once/";
      route.services = {{.service = "fees", .weight = 1}};
      route.timeout = std::chrono::seconds(5);
      route.idempotent = safe;
      route.open = true;
      route.maxTargets = 1;
      content.routes.push_back(route);
    }
    return std::make_shared<MeshConfig>(content);
  }

  void Accept() {
    AcceptEach(this->acceptor, [this](asio::ip::tcp::socket aSocket) {
      aSocket.set_option(asio::ip::tcp::no_delay(true));
      this->connections.push_back(
          std::make_shared<TargetConnection>(std::move(aSocket)));
      this->connections.back()->Serve(this->onRequest, this->requestBytes);
    });
  }

  OnRequest onRequest;
  std::deque<RawPeer> callerPeers;
  asio::ip::tcp::acceptor acceptor{this->io,
                                   {asio::ip::make_address("127.0.0.1"), 0}};
  EntrySide entry{
      this->io,
      {.node = "n0",
       .service = "fees",
       .target = {"127.0.0.1", this->acceptor.local_endpoint().port()},
       .fleetSecret = "secret"},
      {.requestId = "X-Id",
       .timeout = "X-Timeout",
       .key = "X-Key",
       .organisation = "X-Organisation",
       .callerService = "X-Caller",
       .expectedTarget = "X-Target",
       .notRun = "X-Not-Run"},
      Routes};
  LocalTargetState target{
      {.service = "fees", .reportTimeout = std::chrono::minutes(5)}};
  TargetService targets{{.context = this->entry.context,
                         .target = this->target,
                         .fleetSecret = "secret"}};
  PeerServer peers{
      {.io = this->io,
       .self = {"n1", Id128::Generate(), "secret"},
       .host = "127.0.0.1",
       .sendsStateOnConnect = true,
       .handlers = {.onRequest =
                        [this](const PeerServer::SessionPtr& aSession,
                               RequestFrame aFrame, Duration aTransitDelay) {
                          if (this->sendsTwice) {
                            this->targets.OnRequest(aSession, aFrame,
                                                    aTransitDelay);
                          }
                          this->targets.OnRequest(aSession, std::move(aFrame),
                                                  aTransitDelay);
                        },
                    .onCredit =
                        [this](const PeerServer::SessionPtr& aSession,
                               const CreditFrame& aFrame) {
                          this->targets.OnCredit(aSession, aFrame);
                        },
                    .onCancel =
                        [this](const PeerServer::SessionPtr& aSession,
                               uint64_t aStream) {
                          this->targets.OnCancel(aSession, aStream);
                        },
                    .onClosed =
                        [this](const PeerServer::SessionPtr& aSession) {
                          this->targets.OnClosed(aSession);
                        },
                    .state = [this] { return this->targets.State(); }}}};
};

}  // namespace fescueline::test
