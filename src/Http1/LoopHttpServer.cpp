#include "Http1/LoopHttpServer.h"

#include <algorithm>
#include <vector>

#include "Http1/LoopHttpConnection.h"
#include "Transport/ListenOn.h"

namespace fescueline {

namespace {
/// Interval between checks for connections without progress.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
/// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
}  // namespace

LoopHttpServer::LoopHttpServer(Settings aSettings)
    : settings(std::move(aSettings)),
      acceptor(this->settings.io),
      sweepTimer(this->settings.io) {
  ListenOn(this->acceptor, this->settings.host, this->settings.port,
           "http.listen");
}

LoopHttpServer::~LoopHttpServer() = default;

uint16_t LoopHttpServer::Port() const {
  return this->acceptor.local_endpoint().port();
}

void LoopHttpServer::Start() {
  this->Accept();
  this->Sweep();
}

void LoopHttpServer::Accept() {
  this->acceptor.async_accept([this](const asio::error_code& aError,
                                     asio::ip::tcp::socket aSocket) {
    if (!this->acceptor.is_open()) {
      return;
    }
    if (aError) {
      const auto timer =
          std::make_shared<asio::steady_timer>(this->settings.io, kAcceptPause);
      timer->async_wait([this, timer](const asio::error_code&) {
        if (this->acceptor.is_open()) {
          this->Accept();
        }
      });
      return;
    }
    const auto connection =
        std::make_shared<LoopHttpConnection>(*this, std::move(aSocket));
    this->connections.insert(connection);
    connection->Start();
    this->Accept();
  });
}

void LoopHttpServer::Sweep() {
  const TimePoint now = SteadyClock().Now();
  std::vector<ConnectionPtr> late;
  for (const ConnectionPtr& connection : this->connections) {
    const auto deadline = connection->Deadline();
    if (deadline && *deadline <= now) {
      late.push_back(connection);
    }
  }
  for (const ConnectionPtr& connection : late) {
    connection->Close();
  }
  this->sweepTimer.expires_after(kSweepPeriod);
  this->sweepTimer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->Sweep();
    }
  });
}

bool LoopHttpServer::HasUnsentBytes() const {
  return std::any_of(this->connections.begin(), this->connections.end(),
                     [](const ConnectionPtr& aConnection) {
                       return aConnection->HasUnsentBytes();
                     });
}

void LoopHttpServer::StopAccepting() {
  asio::error_code ignored;
  this->acceptor.close(ignored);
}

}  // namespace fescueline
