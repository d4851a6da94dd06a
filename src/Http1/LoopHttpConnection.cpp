#include "Http1/LoopHttpConnection.h"

#include <algorithm>
#include <utility>

#include "Core/Error.h"
#include "Log/Log.h"
#include "Transport/SocketRead.h"

namespace fescueline {

namespace {
/// Maximum number of unparsed bytes of later requests that are buffered. They
/// cannot be given up while a request is in progress.
constexpr size_t kMaxInboxBytes = size_t{16} * 1024;
/// Time for the caller to read the last response before the close.
constexpr Duration kLingerTime = std::chrono::seconds(1);
/// Closes the connection if the caller reads none of a response for this long.
constexpr Duration kWriteStallTimeout = std::chrono::seconds(15);

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kHeadTooLarge = 431;
constexpr int kInternalServerError = 500;
constexpr int kUnavailable = 503;

class LoopHttpExchange final : public HttpExchange {
 public:
  /// aHeadCost: memory of the head, bytes.
  LoopHttpExchange(std::shared_ptr<LoopHttpConnection> aConnection,
                   uint64_t aNumber, HttpRequest aRequest,
                   std::shared_ptr<ByteBudget> aBudget, size_t aHeadCost)
      : connection(std::move(aConnection)),
        number(aNumber),
        request(std::move(aRequest)),
        held(std::move(aBudget)) {
    this->held.Set(this->request.body.capacity() + aHeadCost);
  }
  LoopHttpExchange(const LoopHttpExchange&) = delete;
  LoopHttpExchange& operator=(const LoopHttpExchange&) = delete;
  ~LoopHttpExchange() override {
    if (!this->responded) {
      this->connection->Respond(this->number, {.status = kInternalServerError},
                                {});
    } else {
      // No effect if the response has ended.
      this->connection->EndStream(this->number, false, {});
    }
  }

  HttpRequest& Request() override { return this->request; }
  void OnAbort(std::function<void()> aAbort) override {
    this->connection->OnAbort(this->number, std::move(aAbort));
  }
  void Respond(HttpResponse aResponse, std::function<void()> aOnSent) override {
    this->responded = true;
    this->connection->Respond(this->number, aResponse, std::move(aOnSent));
  }
  void StartStream(int aStatus, HttpHeaders aHeaders,
                   std::optional<uint64_t> aContentLength) override {
    this->responded = true;
    this->connection->StartStream(this->number, aStatus, aHeaders,
                                  aContentLength);
  }
  void Write(std::string aData, std::function<void()> aOnWritten) override {
    this->connection->Write(this->number, aData, std::move(aOnWritten));
  }
  void EndStream(bool aComplete, std::function<void()> aOnSent) override {
    this->connection->EndStream(this->number, aComplete, std::move(aOnSent));
  }

 private:
  std::shared_ptr<LoopHttpConnection> connection;
  uint64_t number;
  HttpRequest request;
  HeldBytes held;
  bool responded = false;
};
}  // namespace

LoopHttpConnection::LoopHttpConnection(LoopHttpServer& aServer,
                                       asio::ip::tcp::socket aSocket)
    : server(aServer),
      socket(std::move(aSocket)),
      held(aServer.budget),
      reader({.kind = HttpReaderKind::Request,
              .maxHeadBytes = aServer.Limits().maxHeadBytes,
              .events = this->ReaderEvents()}),
      lastProgress(SteadyClock().Now()) {}

HttpReader::Events LoopHttpConnection::ReaderEvents() {
  return {.onHead =
              [this](HttpHead aHead) { return this->OnHead(std::move(aHead)); },
          .onBody = [this](std::string_view aPart) { this->OnBody(aPart); },
          .onEnd = [this] { this->OnRequest(); }};
}

void LoopHttpConnection::Start() {
  asio::error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
  this->address = this->socket.remote_endpoint(ignored).address();
  this->UpdateHeld();
  this->Read();
}

CallerLoad LoopHttpConnection::Load() const {
  CallerPhase phase = CallerPhase::Idle;
  if (this->lingering) {
    phase = CallerPhase::Lingering;
  } else if (this->busy) {
    phase =
        this->writes.empty() ? CallerPhase::InProgress : CallerPhase::Unread;
  } else if (this->reader.InMessage() || !this->inbox.empty()) {
    phase = CallerPhase::Receiving;
  }
  return {.phase = phase,
          .held = this->held.Size(),
          .lastProgress = this->lastProgress,
          .address = this->address};
}

void LoopHttpConnection::UpdateHeld() {
  const size_t head = this->reader.HasHead() ? 0 : this->reader.HeadCost();
  const size_t bytes = LoopHttpServer::kConnectionBytes +
                       this->inbox.capacity() + head + this->headCost +
                       this->request.body.capacity() + this->unwritten;
  const bool grows = bytes > this->held.Size();
  this->held.Set(bytes);
  const ByteBudget& budget = this->server.Budget();
  if (grows && budget.IsExceededForLarge() &&
      (budget.IsExceeded() || ByteBudget::IsLarge(bytes))) {
    this->server.ScheduleShed();
  }
}

void LoopHttpConnection::DropReceived() {
  // Assigning an empty string would keep the memory of a long one.
  const HttpRequest dropped = std::exchange(this->request, HttpRequest{});
  std::string().swap(this->inbox);
  this->headCost = 0;
  this->reader.DropHead();
}

void LoopHttpConnection::Shed() { this->Reject(kUnavailable); }

std::optional<TimePoint> LoopHttpConnection::Deadline() const {
  if (this->lingering) {
    return this->lastProgress + kLingerTime;
  }
  if (this->writing) {
    return this->lastProgress + kWriteStallTimeout;
  }
  if (this->busy) {
    return std::nullopt;
  }
  const CallerLimits& limits = this->server.Limits();
  if (!this->reader.InMessage()) {
    return this->lastProgress + limits.idleTimeout;
  }
  if (!this->reader.HasHead()) {
    return this->requestStart + limits.headTimeout;
  }
  return std::min(this->lastProgress + limits.headTimeout,
                  this->requestStart + limits.requestTimeout);
}

void LoopHttpConnection::Read() {
  if (this->reading || this->closed || this->inbox.size() >= kMaxInboxBytes) {
    return;
  }
  this->reading = true;
  const bool inBody = this->reader.InMessage() && this->reader.HasHead();
  AsyncReadShared(
      this->socket,
      [self = this->shared_from_this()](const asio::error_code& aError,
                                        std::string_view aBytes) {
        self->reading = false;
        self->OnRead(aError, aBytes);
      },
      inBody ? kSharedReadBytes : kMaxInboxBytes - this->inbox.size());
}

void LoopHttpConnection::OnRead(const asio::error_code& aError,
                                std::string_view aBytes) {
  if (this->closed) {
    return;
  }
  if (aError) {
    this->Close();
    return;
  }
  if (!this->lingering) {
    this->inbox.append(aBytes);
    this->Parse();
    if (!this->busy && this->reader.InMessage()) {
      this->lastProgress = SteadyClock().Now();
    }
    if (!this->closed) {
      this->UpdateHeld();
    }
  }
  this->Read();
}

void LoopHttpConnection::Parse() {
  while (!this->busy && !this->closed && !this->lingering &&
         !this->inbox.empty()) {
    // The reader reports the end of a message by OnRequest, which may respond
    // and thereby call Parse again. The bytes must be removed from the inbox
    // before that.
    const std::string bytes = std::move(this->inbox);
    this->inbox.clear();
    const bool begins = !this->reader.InMessage();
    try {
      const size_t used = this->reader.Feed(bytes);
      this->inbox.insert(0, bytes, used);
    } catch (const Error&) {
      this->Reject(this->reader.HasHead() ? kBadRequest : kHeadTooLarge);
    } catch (const std::exception& failure) {
      Log(LogLevel::Error, "request handler failed",
          {{"error", std::string(failure.what())}});
      this->Close();
    }
    if (begins) {
      this->requestStart = SteadyClock().Now();
    }
  }
}

bool LoopHttpConnection::OnHead(HttpHead aHead) {
  if (this->lingering || this->closed) {
    return false;
  }
  this->request = HttpRequest{.method = std::move(aHead.method),
                              .target = std::move(aHead.target),
                              .headers = std::move(aHead.headers),
                              .body = {}};
  this->requestKeepAlive = aHead.keepAlive;
  this->acceptsChunked = aHead.acceptsChunked;
  this->isHeadRequest = this->request.method == "HEAD";
  this->headCost = this->reader.HeadCost();
  if (aHead.length.value_or(0) > this->server.Limits().maxBodyBytes) {
    this->Reject(kContentTooLarge);
    return false;
  }
  if (FindHeader(this->request.headers, "expect")) {
    RemoveHeader(this->request.headers, "expect");
    this->Queue("HTTP/1.1 100 Continue\r\n\r\n", {});
  }
  return true;
}

void LoopHttpConnection::OnBody(std::string_view aPart) {
  if (this->lingering || this->closed) {
    return;
  }
  if (this->request.body.size() + aPart.size() >
      this->server.Limits().maxBodyBytes) {
    this->Reject(kContentTooLarge);
    return;
  }
  this->request.body.append(aPart);
}

void LoopHttpConnection::OnRequest() {
  if (this->lingering || this->closed) {
    return;
  }
  if (!this->server.HasRoomForRequest()) {
    this->server.OnShed(ShedReason::RequestBytes);
    this->Shed();
    return;
  }
  this->busy = true;
  this->responseState = ResponseState::None;
  this->chunked = false;
  this->bodiless = false;
  this->bodyEndsAtClose = false;
  this->bodyLeft.reset();
  this->closeAfterResponse = !this->requestKeepAlive;
  ++this->exchange;
  this->server.settings.onRequest(std::make_shared<LoopHttpExchange>(
      this->shared_from_this(), this->exchange, std::move(this->request),
      this->server.budget, std::exchange(this->headCost, 0)));
}

void LoopHttpConnection::Reject(int aStatus) {
  if (this->lingering || this->closed) {
    return;
  }
  this->lingering = true;
  this->DropReceived();
  this->Queue(WriteResponseHead(aStatus, {}, {.length = 0, .close = true}),
              [this] { this->LingerAndClose(); });
}

void LoopHttpConnection::OnAbort(uint64_t aExchange,
                                 std::function<void()> aAbort) {
  if (this->IsCurrent(aExchange)) {
    this->abort = std::move(aAbort);
  } else if (this->closed && aExchange == this->exchange && aAbort) {
    aAbort();
  }
}

void LoopHttpConnection::Respond(uint64_t aExchange,
                                 const HttpResponse& aResponse,
                                 std::function<void()> aOnSent) {
  if (!this->IsCurrent(aExchange)) {
    if (aOnSent) {
      aOnSent();
    }
    return;
  }
  if (this->responseState != ResponseState::None) {
    this->CloseOnMismatch("second response");
    if (aOnSent) {
      aOnSent();
    }
    return;
  }
  this->responseState = ResponseState::Ended;
  this->closeAfterResponse =
      this->closeAfterResponse || this->server.IsClosing();
  HttpFraming framing{.close = this->closeAfterResponse};
  const bool hasBody = !IsBodiless(aResponse.status);
  if (hasBody) {
    framing.length = aResponse.body.size();
  }
  std::string bytes =
      WriteResponseHead(aResponse.status, aResponse.headers, framing);
  if (hasBody && !this->isHeadRequest) {
    bytes += aResponse.body;
  }
  this->abort = nullptr;
  this->Queue(std::move(bytes), [this, onSent = std::move(aOnSent)] {
    this->OnResponseSent();
    if (onSent) {
      onSent();
    }
  });
}

HttpFraming LoopHttpConnection::StreamFraming(int aStatus,
                                              std::optional<uint64_t> aLength) {
  this->bodiless = this->isHeadRequest || IsBodiless(aStatus);
  if (IsBodiless(aStatus)) {
    return {.close = this->closeAfterResponse};
  }
  if (aLength) {
    this->bodyLeft = this->bodiless ? 0 : *aLength;
    return {.length = aLength, .close = this->closeAfterResponse};
  }
  this->chunked = this->acceptsChunked;
  this->bodyEndsAtClose = !this->acceptsChunked;
  this->closeAfterResponse = this->closeAfterResponse || this->bodyEndsAtClose;
  return {.chunked = this->chunked, .close = this->closeAfterResponse};
}

void LoopHttpConnection::StartStream(uint64_t aExchange, int aStatus,
                                     const HttpHeaders& aHeaders,
                                     std::optional<uint64_t> aLength) {
  if (!this->IsCurrent(aExchange)) {
    return;
  }
  if (this->responseState != ResponseState::None) {
    this->CloseOnMismatch("second head");
    return;
  }
  this->responseState = ResponseState::Streaming;
  this->closeAfterResponse =
      this->closeAfterResponse || this->server.IsClosing();
  const HttpFraming framing = this->StreamFraming(aStatus, aLength);
  if (this->bodyEndsAtClose) {
    // An orderly close would mark the body as complete. Set before the first
    // byte, so that the connection is reset as well if the process ends.
    this->SetResetOnClose(true);
  }
  this->Queue(WriteResponseHead(aStatus, aHeaders, framing), {});
}

void LoopHttpConnection::Write(uint64_t aExchange, const std::string& aData,
                               std::function<void()> aOnWritten) {
  const auto notifyWritten = [&aOnWritten] {
    if (aOnWritten) {
      aOnWritten();
    }
  };
  // An empty chunk would be taken for the last chunk.
  if (!this->IsCurrent(aExchange) || this->bodiless || aData.empty()) {
    notifyWritten();
    return;
  }
  if (this->bodyLeft) {
    if (aData.size() > *this->bodyLeft) {
      this->CloseOnMismatch("more than the length");
      notifyWritten();
      return;
    }
    *this->bodyLeft -= aData.size();
  }
  this->Queue(this->chunked ? WriteChunk(aData) : aData, std::move(aOnWritten));
}

void LoopHttpConnection::EndStream(uint64_t aExchange, bool aComplete,
                                   std::function<void()> aOnSent) {
  if (!this->IsCurrent(aExchange)) {
    if (aOnSent) {
      aOnSent();
    }
    return;
  }
  this->abort = nullptr;
  const bool isTooShort = this->bodyLeft.value_or(0) > 0;
  if (!aComplete || isTooShort) {
    aComplete ? this->CloseOnMismatch("less than the length") : this->Close();
    if (aOnSent) {
      aOnSent();
    }
    return;
  }
  this->responseState = ResponseState::Ended;
  const bool endsByChunk = this->chunked && !this->bodiless;
  this->Queue(endsByChunk ? WriteChunk({}) : std::string(),
              [this, onSent = std::move(aOnSent)] {
                this->OnResponseSent();
                if (onSent) {
                  onSent();
                }
              });
}

void LoopHttpConnection::CloseOnMismatch(std::string_view aWhat) {
  Log(LogLevel::Error, "response does not fit its head",
      {{"what", std::string(aWhat)}});
  this->Close();
}

void LoopHttpConnection::SetResetOnClose(bool aReset) {
  asio::error_code ignored;
  this->socket.set_option(asio::socket_base::linger(aReset, 0), ignored);
}

void LoopHttpConnection::OnResponseSent() {
  this->busy = false;
  this->lastProgress = SteadyClock().Now();
  if (this->closeAfterResponse) {
    this->LingerAndClose();
    return;
  }
  if (!this->closed) {
    this->Parse();
    this->Read();
  }
}

void LoopHttpConnection::LingerAndClose() {
  this->lingering = true;
  this->lastProgress = SteadyClock().Now();
  this->DropReceived();
  this->UpdateHeld();
  if (this->bodyEndsAtClose) {
    this->SetResetOnClose(false);
  }
  asio::error_code ignored;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->Read();
}

void LoopHttpConnection::Queue(std::string aBytes,
                               std::function<void()> aOnWritten) {
  if (this->closed) {
    return;
  }
  this->unwritten += aBytes.size();
  this->writes.push_back(
      {.bytes = std::move(aBytes), .onWritten = std::move(aOnWritten)});
  this->UpdateHeld();
  if (!this->writing) {
    this->WriteNext();
  }
}

void LoopHttpConnection::WriteNext() {
  this->writing = true;
  this->lastProgress = SteadyClock().Now();
  asio::async_write(
      this->socket, asio::buffer(this->writes.front().bytes),
      [self = this->shared_from_this()](const asio::error_code& aError,
                                        size_t) {
        if (self->closed) {
          return;
        }
        if (aError) {
          self->Close();
          return;
        }
        const auto onWritten = std::move(self->writes.front().onWritten);
        self->unwritten -= self->writes.front().bytes.size();
        self->writes.pop_front();
        self->writing = false;
        self->UpdateHeld();
        self->lastProgress = SteadyClock().Now();
        if (onWritten) {
          onWritten();
        }
        if (!self->writing && !self->writes.empty() && !self->closed) {
          self->WriteNext();
        }
      });
}

void LoopHttpConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  asio::error_code ignored;
  this->socket.close(ignored);
  const auto self = this->shared_from_this();
  this->server.connections.erase(self);
  auto pending = std::move(this->writes);
  this->writes.clear();
  this->unwritten = 0;
  this->DropReceived();
  this->held.Set(0);
  const auto onAbort = std::move(this->abort);
  this->abort = nullptr;
  this->busy = false;
  if (onAbort) {
    onAbort();
  }
  for (const PendingWrite& write : pending) {
    if (write.onWritten) {
      write.onWritten();
    }
  }
}

}  // namespace fescueline
