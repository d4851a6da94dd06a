#include "Http1/HttpClientConnection.h"

#include <cassert>
#include <charconv>

#include "Core/Error.h"
#include "Http1/HttpWriter.h"
#include "Transport/SocketRead.h"

namespace fescueline {

namespace {
/// Whether the end of a response to another request is known. It is not if that
/// request may have been a HEAD, if the body ends with the connection, or if
/// the length contradicts the status.
bool IsFramed(const HttpHead& aHead, bool aHadHeadRequest) {
  const bool contradicts =
      IsBodiless(aHead.status) && aHead.length.value_or(0) > 0;
  return aHead.keepAlive && !aHadHeadRequest && !contradicts;
}

/// Value of `timeout` in a Keep-Alive header, in seconds.
std::optional<Duration> KeepAliveTimeout(const HttpHeaders& aHeaders) {
  constexpr std::string_view kParameter = "timeout=";
  const auto value = FindHeader(aHeaders, "keep-alive");
  if (!value) {
    return std::nullopt;
  }
  const size_t at = value->find(kParameter);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view text = value->substr(at + kParameter.size());
  int64_t seconds = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (result.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}
}  // namespace

HttpClientConnection::HttpClientConnection(asio::io_context& aIo,
                                           std::function<void()> aOnUnsolicited)
    : socket(aIo),
      connectTimer(aIo),
      trailingTimer(aIo),
      reader({.kind = HttpReaderKind::Response,
              .maxHeadBytes = size_t{64} * 1024,
              .events = this->ReaderEvents()}),
      onUnsolicited(std::move(aOnUnsolicited)) {}

HttpReader::Events HttpClientConnection::ReaderEvents() {
  return {.onHead =
              [this](HttpHead aHead) { return this->OnHead(std::move(aHead)); },
          .onBody =
              [this](std::string_view aPart) {
                if (this->events.onBody) {
                  this->events.onBody(aPart);
                }
              },
          // OnRead ends the exchange, when it knows whether bytes follow.
          .onEnd = [this] { this->complete = true; }};
}

void HttpClientConnection::Connect(
    const asio::ip::tcp::endpoint& aPeer, Duration aTimeout,
    std::function<void(const std::string&)> aDone) {
  const auto self = this->shared_from_this();
  const auto done = std::make_shared<std::function<void(const std::string&)>>(
      std::move(aDone));
  const auto finish = [self, done](const std::string& aError) {
    if (const auto callback = std::exchange(*done, nullptr)) {
      callback(aError);
    }
  };
  this->connectTimer.expires_after(aTimeout);
  this->connectTimer.async_wait([self, finish](const asio::error_code& aError) {
    if (!aError && !self->open) {
      asio::error_code ignored;
      self->socket.close(ignored);
      finish("connect timeout");
    }
  });
  this->socket.async_connect(
      aPeer, [self, finish](const asio::error_code& aError) {
        self->connectTimer.cancel();
        if (aError || !self->socket.is_open()) {
          finish("connect: " + aError.message());
          return;
        }
        asio::error_code ignored;
        self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->socket.non_blocking(true, ignored);
        self->open = true;
        self->idleSince = SteadyClock().Now();
        self->Read();
        finish({});
      });
}

void HttpClientConnection::Send(std::string aBytes, bool aNoBody,
                                ClientExchangeEvents aEvents,
                                std::string aBody) {
  assert(!this->busy && !this->writing);
  this->events = std::move(aEvents);
  this->busy = true;
  ++this->exchanges;
  this->sent = true;
  this->keepAlive = false;
  this->accepted = false;
  this->trailing.clear();
  this->skipped = 0;
  this->hadHeadRequest = this->hadHeadRequest || aNoBody;
  this->reader.ExpectNoBody(aNoBody);
  this->outgoing = {std::move(aBytes), std::move(aBody)};
  this->writing = true;
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(this->outgoing[0]), asio::buffer(this->outgoing[1])};
  asio::async_write(this->socket, buffers,
                    [self = this->shared_from_this()](
                        const asio::error_code& aError, size_t) {
                      self->writing = false;
                      // Assigning empty strings would keep their memory.
                      std::array<std::string, 2>().swap(self->outgoing);
                      self->writeFailed = static_cast<bool>(aError);
                      // A server may respond before it has read the request
                      // and then close; the response can still be read.
                      if (aError && self->busy && !self->reading) {
                        self->Close("write: " + aError.message());
                      }
                    });
  this->Read();
}

void HttpClientConnection::SetPaused(bool aPaused) {
  this->paused = aPaused;
  this->Read();
}

void HttpClientConnection::Read() {
  if (this->reading || this->paused || !this->open) {
    return;
  }
  this->reading = true;
  AsyncReadShared(this->socket,
                  [self = this->shared_from_this()](
                      const asio::error_code& aError, std::string_view aBytes) {
                    self->reading = false;
                    self->OnRead(aError, aBytes);
                  });
}

void HttpClientConnection::OnReadError(const asio::error_code& aError) {
  if (this->complete) {
    this->keepAlive = false;
    this->EndExchange(this->trailing);
    return;
  }
  try {
    const bool mayEndBody = this->IsOrderlyEnd(aError) && this->busy;
    if (mayEndBody && this->accepted && this->reader.FinishAtEof()) {
      this->keepAlive = false;
      this->EndExchange({});
    }
    this->Close("read: " + aError.message());
  } catch (const std::exception& failure) {
    this->Close(failure.what());
  }
}

void HttpClientConnection::OnRead(const asio::error_code& aError,
                                  std::string_view aBytes) {
  if (!this->open) {
    return;
  }
  if (aError) {
    this->OnReadError(aError);
    return;
  }
  std::string_view bytes = aBytes;
  try {
    while (!bytes.empty() && this->open) {
      if (!this->busy) {
        if (this->onUnsolicited) {
          this->onUnsolicited();
        }
        this->Close("unsolicited bytes");
        return;
      }
      if (this->complete) {
        this->OnTrailing(bytes);
        break;
      }
      bytes.remove_prefix(this->reader.Feed(bytes));
      if (this->complete) {
        this->OnComplete(bytes);
        break;
      }
      if (!this->closeReason.empty()) {
        this->Close(this->closeReason);
        return;
      }
    }
  } catch (const std::exception& failure) {
    // A malformed response, or a handler that failed with it.
    if (this->closeReason.empty()) {
      this->fault = ResponseFault::Malformed;
      this->closeReason = failure.what();
    }
    this->Close(this->closeReason);
    return;
  }
  this->Read();
}

bool HttpClientConnection::OnHead(HttpHead aHead) {
  if (!this->closeReason.empty()) {
    return false;
  }
  const bool headKeepAlive = aHead.keepAlive;
  const bool framed = IsFramed(aHead, this->hadHeadRequest);
  if (const auto timeout = KeepAliveTimeout(aHead.headers)) {
    this->serverIdleTimeout = timeout;
  }
  switch (this->events.onHead(std::move(aHead))) {
    case ResponseVerdict::Accept:
      this->accepted = true;
      this->keepAlive = headKeepAlive;
      return true;
    case ResponseVerdict::Skip:
      ++this->skipped;
      if (!framed) {
        this->fault = ResponseFault::Unframed;
        this->closeReason = "response to skip";
      }
      return false;
    case ResponseVerdict::Reject:
      this->closeReason = "response rejected";
      return false;
  }
  return false;
}

void HttpClientConnection::OnComplete(std::string_view aTrailing) {
  const Duration wait = this->events.onComplete
                            ? this->events.onComplete(aTrailing)
                            : Duration::zero();
  if (wait <= Duration::zero()) {
    this->EndExchange(aTrailing);
    return;
  }
  this->trailing = aTrailing;
  this->paused = false;
  this->trailingTimer.expires_after(wait);
  this->trailingTimer.async_wait(
      [weak = this->weak_from_this(),
       exchange = this->exchanges](const asio::error_code& aError) {
        const auto self = weak.lock();
        if (!aError && self && self->complete && self->exchanges == exchange) {
          self->EndExchange(self->trailing);
        }
      });
}

void HttpClientConnection::OnTrailing(std::string_view aBytes) {
  this->trailing += aBytes;
  if (this->events.onComplete(this->trailing) <= Duration::zero()) {
    this->EndExchange(this->trailing);
  }
}

void HttpClientConnection::EndExchange(std::string_view aTrailing) {
  this->idleSince = SteadyClock().Now();
  if (!aTrailing.empty()) {
    // The trailing bytes belong to no request and must not be taken for the
    // response to the next one.
    this->fault = ResponseFault::Trailing;
  } else if (this->writing || this->writeFailed) {
    // The server would read the next request as the rest of this one.
    this->fault = ResponseFault::Early;
  }
  // After a skipped response more responses to other requests may follow.
  this->Finish({.complete = true,
                .sent = true,
                .reusable = this->keepAlive && this->open &&
                            this->skipped == 0 &&
                            this->fault == ResponseFault::None,
                .fault = this->fault,
                .trailing = aTrailing,
                .error = {}});
}

void HttpClientConnection::Close(const std::string& aReason) {
  if (!this->open) {
    return;
  }
  this->open = false;
  asio::error_code ignored;
  this->socket.close(ignored);
  if (this->busy) {
    this->Finish({.complete = false,
                  .sent = this->sent,
                  .reusable = false,
                  .fault = this->fault,
                  .trailing = {},
                  .error = aReason});
  }
}

void HttpClientConnection::Finish(const ClientExchangeResult& aResult) {
  if (!this->busy) {
    return;
  }
  this->busy = false;
  this->paused = false;
  this->complete = false;
  this->trailingTimer.cancel();
  const ClientExchangeEvents ended = std::move(this->events);
  this->events = {};
  if (!aResult.reusable && this->open) {
    this->open = false;
    asio::error_code ignored;
    this->socket.close(ignored);
  }
  ended.onDone(aResult);
}

}  // namespace fescueline
