#include "Http1/LoopHttpServer.h"

#include <algorithm>
#include <vector>

#include "Http1/LoopHttpConnection.h"
#include "Http1/ShedPolicy.h"
#include "Log/Log.h"
#include "Transport/ListenOn.h"

namespace fescueline {

namespace {
/// Interval between checks for connections without progress.
constexpr Duration kSweepPeriod = std::chrono::milliseconds(500);
/// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
/// Time without giving up anything after which a series has ended.
constexpr Duration kShedSeriesGap = std::chrono::seconds(5);
}  // namespace

LoopHttpServer::LoopHttpServer(Settings aSettings)
    : settings(std::move(aSettings)),
      acceptor(this->settings.io),
      sweepTimer(this->settings.io),
      budget(std::make_shared<ByteBudget>(this->settings.maxHeldBytes)) {
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
    this->AddConnection(std::move(aSocket));
    this->Accept();
  });
}

void LoopHttpServer::AddConnection(asio::ip::tcp::socket aSocket) {
  if (!this->MakeRoomForConnection()) {
    // Destroying the socket closes it.
    this->OnShed(ShedReason::Connections);
    return;
  }
  const auto connection =
      std::make_shared<LoopHttpConnection>(*this, std::move(aSocket));
  this->connections.insert(connection);
  connection->Start();
}

namespace {
struct Loads {
  std::vector<std::shared_ptr<LoopHttpConnection>> connections;
  std::vector<CallerLoad> loads;
};

template <typename Connections>
Loads LoadsOf(const Connections& aConnections) {
  Loads result;
  for (const auto& connection : aConnections) {
    result.connections.push_back(connection);
    result.loads.push_back(connection->Load());
  }
  return result;
}
}  // namespace

bool LoopHttpServer::MakeRoomForConnection() {
  if (this->connections.size() < this->settings.maxConnections) {
    return true;
  }
  const Loads callers = LoadsOf(this->connections);
  const auto chosen = ShedPolicy::ChooseForConnection(callers.loads);
  if (chosen) {
    this->OnShed(ShedReason::Connections);
    callers.connections[*chosen]->Close();
  }
  return chosen.has_value();
}

bool LoopHttpServer::HasRoomForRequest() {
  if (this->budget->IsExceeded()) {
    this->ShedForBytes();
  }
  return !this->budget->IsExceeded();
}

void LoopHttpServer::ScheduleShed() {
  if (this->shedScheduled) {
    return;
  }
  this->shedScheduled = true;
  // Posted, as a connection must not be closed within its own event.
  asio::post(this->settings.io, [this] {
    this->shedScheduled = false;
    this->ShedForBytes();
  });
}

void LoopHttpServer::ShedForBytes() {
  Loads callers = LoadsOf(this->connections);
  while (const auto chosen =
             ShedPolicy::ChooseForBytes(callers.loads, *this->budget)) {
    const bool unread = callers.loads[*chosen].phase == CallerPhase::Unread;
    this->OnShed(unread ? ShedReason::UnreadBytes : ShedReason::RequestBytes);
    const auto connection = callers.connections[*chosen];
    unread ? connection->Close() : connection->Shed();
    callers.loads[*chosen] = {.phase = CallerPhase::Lingering};
  }
}

void LoopHttpServer::OnShed(ShedReason aReason) {
  if (this->settings.onShed) {
    this->settings.onShed(aReason);
  }
  if (this->shedCount++ == 0) {
    Log(LogLevel::Warning, "callers are shed",
        {{"listener", this->settings.name},
         {"reason", std::string(ToName(aReason))},
         {"connections", std::to_string(this->connections.size())},
         {"held_bytes", std::to_string(this->budget->Held())},
         {"max_held_bytes", std::to_string(this->budget->Limit())}});
  }
  this->lastShed = SteadyClock().Now();
}

void LoopHttpServer::EndShedSeries() {
  if (this->shedCount > 0 &&
      SteadyClock().Now() - this->lastShed > kShedSeriesGap) {
    Log(LogLevel::Info, "callers are no longer shed",
        {{"listener", this->settings.name},
         {"shed", std::to_string(this->shedCount)}});
    this->shedCount = 0;
  }
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
  this->EndShedSeries();
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
