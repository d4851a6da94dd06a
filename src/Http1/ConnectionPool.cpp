#include "Http1/ConnectionPool.h"

#include <algorithm>

namespace fescueline {

bool ConnectionPool::IsUsable(const HttpClientConnection& aConnection,
                              Duration aMaxRest, TimePoint aNow) const {
  Duration limit = this->settings.maxRest;
  if (const auto stated = aConnection.ServerIdleTimeout()) {
    limit = std::max(*stated - this->settings.restMargin, *stated / 2);
  }
  return aConnection.IsResting() &&
         aNow - aConnection.RestingSince() <= std::min(limit, aMaxRest);
}

void ConnectionPool::Sweep(TimePoint aNow) {
  std::erase_if(this->resting, [&](const ConnectionPtr& aConnection) {
    if (this->IsUsable(*aConnection, Duration::max(), aNow)) {
      return false;
    }
    aConnection->Close("rested too long");
    return true;
  });
}

void ConnectionPool::Acquire(Duration aMaxRest, const Done& aDone) {
  const TimePoint now = SteadyClock().Now();
  this->Sweep(now);
  if (!this->resting.empty() &&
      this->IsUsable(*this->resting.back(), aMaxRest, now)) {
    ConnectionPtr connection = std::move(this->resting.back());
    this->resting.pop_back();
    aDone(std::move(connection), {});
    return;
  }
  this->AcquireNew(aDone);
}

void ConnectionPool::AcquireNew(const Done& aDone) {
  ++this->made;
  const auto connection = std::make_shared<HttpClientConnection>(
      this->settings.io, this->settings.onUnasked);
  connection->Connect(this->settings.peer, this->settings.connectTimeout,
                      [connection, aDone](const std::string& aError) {
                        aDone(aError.empty() ? connection : nullptr, aError);
                      });
}

void ConnectionPool::Release(ConnectionPtr aConnection) {
  if (!aConnection->IsResting()) {
    return;
  }
  if (this->resting.size() >= this->settings.maxResting) {
    aConnection->Close("enough connections rest");
    return;
  }
  this->resting.push_back(std::move(aConnection));
}

void ConnectionPool::Clear() {
  for (const ConnectionPtr& connection : this->resting) {
    connection->Close("not needed any more");
  }
  this->resting.clear();
}

}  // namespace fescueline
