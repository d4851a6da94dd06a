#include "LoadClient.h"

#include <charconv>
#include <optional>
#include <string_view>

#include "Transport/HttpMessage.h"

namespace fescueline {

namespace {
constexpr size_t kReadBytes = size_t{16} * 1024;
/// Time to wait for outstanding responses after the last start.
constexpr Duration kDrainTimeout = std::chrono::seconds(5);
constexpr int kOk = 200;
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kLengthName = "content-length";

/// Fields of a response head that the client needs.
struct ResponseHead {
  int status = 0;
  size_t bodyLength = 0;
};

template <typename T>
std::optional<T> ParseNumber(std::string_view aText) {
  T value = 0;
  const auto [end, error] =
      std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return error == std::errc() ? std::optional<T>(value) : std::nullopt;
}

/// Returns nullopt unless the head has a status and a Content-Length.
std::optional<ResponseHead> ParseHead(std::string_view aHead) {
  constexpr size_t kStatusAt = 9;  // Length of "HTTP/1.1 ".
  if (aHead.size() < kStatusAt) {
    return std::nullopt;
  }
  const auto status = ParseNumber<int>(aHead.substr(kStatusAt));
  while (!aHead.empty()) {
    const std::string_view line = aHead.substr(0, aHead.find("\r\n"));
    aHead.remove_prefix(std::min(aHead.size(), line.size() + 2));
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos ||
        !EqualHeaderName(line.substr(0, colon), kLengthName)) {
      continue;
    }
    const size_t value = line.find_first_not_of(' ', colon + 1);
    const auto length = value == std::string_view::npos
                            ? std::nullopt
                            : ParseNumber<size_t>(line.substr(value));
    if (status && length) {
      return ResponseHead{.status = *status, .bodyLength = *length};
    }
  }
  return std::nullopt;
}
}  // namespace

LoadClient::LoadClient(Settings aSettings)
    : settings(std::move(aSettings)), timer(this->settings.io) {
  for (size_t i = 0; i < this->settings.connections; ++i) {
    this->connections.push_back(
        std::make_unique<Connection>(this->settings.io));
    this->Open(*this->connections.back());
    this->idle.push_back(this->connections.back().get());
  }
}

void LoadClient::Open(Connection& aConnection) {
  aConnection.socket = asio::ip::tcp::socket(this->settings.io);
  aConnection.socket.connect(this->settings.server);
  aConnection.socket.set_option(asio::ip::tcp::no_delay(true));
  aConnection.input.clear();
}

LoadResult LoadClient::Run(double aRate, Duration aLength, uint64_t aSeed) {
  this->result = {};
  this->random.seed(aSeed);
  this->interval = std::exponential_distribution<double>(aRate);
  this->nextStart = SteadyClock().Now();
  this->end = this->nextStart + aLength;
  this->settings.io.restart();
  this->ScheduleNext();
  this->settings.io.run_for(aLength + kDrainTimeout);
  this->result.failed += this->inFlight + this->waiting.size();
  this->waiting.clear();
  if (this->inFlight > 0) {
    // Closes the sockets and runs their handlers, which must not count towards
    // the next run.
    this->idle.clear();
    for (auto& connection : this->connections) {
      connection->socket.close();
    }
    this->settings.io.restart();
    this->settings.io.poll();
    this->idle.clear();
    this->inFlight = 0;
    for (auto& connection : this->connections) {
      this->Open(*connection);
      this->idle.push_back(connection.get());
    }
  }
  return std::move(this->result);
}

void LoadClient::ScheduleNext() {
  this->nextStart += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->interval(this->random)));
  if (this->nextStart >= this->end) {
    return;
  }
  this->timer.expires_at(this->nextStart);
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->StartDue();
    }
  });
}

void LoadClient::StartDue() {
  if (this->idle.empty()) {
    this->waiting.push_back(this->nextStart);
  } else {
    Connection& connection = *this->idle.back();
    this->idle.pop_back();
    this->SendRequest(connection, this->nextStart);
  }
  this->ScheduleNext();
}

void LoadClient::SendRequest(Connection& aConnection, TimePoint aScheduled) {
  ++this->inFlight;
  aConnection.scheduled = aScheduled;
  asio::async_write(
      aConnection.socket, asio::buffer(this->settings.request),
      [this, &aConnection](const asio::error_code& aError, size_t) {
        if (aError) {
          this->Fail(aConnection);
        } else {
          this->Read(aConnection);
        }
      });
}

void LoadClient::Read(Connection& aConnection) {
  const size_t used = aConnection.input.size();
  aConnection.input.resize(used + kReadBytes);
  aConnection.socket.async_read_some(
      asio::buffer(aConnection.input.data() + used, kReadBytes),
      [this, &aConnection, used](const asio::error_code& aError,
                                 size_t aBytes) {
        aConnection.input.resize(used + aBytes);
        if (aError) {
          this->Fail(aConnection);
        } else {
          this->OnBytes(aConnection);
        }
      });
}

void LoadClient::OnBytes(Connection& aConnection) {
  const std::string_view input = aConnection.input;
  const size_t headEnd = input.find(kHeadEnd);
  if (headEnd == std::string_view::npos) {
    this->Read(aConnection);
    return;
  }
  const auto head = ParseHead(input.substr(0, headEnd));
  if (!head) {
    this->Fail(aConnection);
  } else if (input.size() < headEnd + kHeadEnd.size() + head->bodyLength) {
    this->Read(aConnection);
  } else {
    this->Complete(aConnection, head->status);
  }
}

void LoadClient::Complete(Connection& aConnection, int aStatus) {
  if (aStatus == kOk) {
    this->result.latencies.push_back(SteadyClock().Now() -
                                     aConnection.scheduled);
  } else {
    ++this->result.refused;
  }
  aConnection.input.clear();
  this->Release(aConnection);
}

void LoadClient::Fail(Connection& aConnection) {
  if (!aConnection.socket.is_open()) {
    return;  // Closed at the end of a run.
  }
  ++this->result.failed;
  this->Open(aConnection);
  this->Release(aConnection);
}

void LoadClient::Release(Connection& aConnection) {
  --this->inFlight;
  if (this->waiting.empty()) {
    this->idle.push_back(&aConnection);
    return;
  }
  const TimePoint scheduled = this->waiting.front();
  this->waiting.pop_front();
  this->SendRequest(aConnection, scheduled);
}

}  // namespace fescueline
