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

ConnectionPool::ConnectionPtr ConnectionPool::TakeResting(
    std::string_view aRequestId, Duration aMaxRest) {
  const TimePoint now = SteadyClock().Now();
  this->Sweep(now);
  const auto usable = [&](const ConnectionPtr& aConnection) {
    return this->IsUsable(*aConnection, aMaxRest, now);
  };
  const auto fits = [&](const ConnectionPtr& aConnection) {
    return usable(aConnection) && !aConnection->Carried().Contains(aRequestId);
  };
  const auto found =
      std::find_if(this->resting.rbegin(), this->resting.rend(), fits);
  if (found != this->resting.rend()) {
    ConnectionPtr connection = std::move(*found);
    this->resting.erase(std::next(found).base());
    return connection;
  }
  if (!this->resting.empty() && usable(this->resting.back())) {
    // Replaced, or a caller that repeats an identifier would leave one more
    // connection with each request.
    this->resting.back()->Close("carried the request before");
    this->resting.pop_back();
  }
  return nullptr;
}

void ConnectionPool::AcquireFor(std::string_view aRequestId, Duration aMaxRest,
                                const Done& aDone) {
  if (ConnectionPtr connection = this->TakeResting(aRequestId, aMaxRest)) {
    connection->Carried().Add(aRequestId);
    aDone(std::move(connection), {});
    return;
  }
  this->AcquireNew([id = std::string(aRequestId), aDone](
                       ConnectionPtr aConnection, const std::string& aError) {
    if (aConnection) {
      aConnection->Carried().Add(id);
    }
    aDone(std::move(aConnection), aError);
  });
}

void ConnectionPool::AcquireNew(const Done& aDone) {
  ++this->made;
  const auto connection = std::make_shared<HttpClientConnection>(
      this->settings.io, this->settings.onUnasked);
  connection->SetGeneration(this->generation);
  connection->Connect(this->settings.peer, this->settings.connectTimeout,
                      [connection, aDone](const std::string& aError) {
                        aDone(aError.empty() ? connection : nullptr, aError);
                      });
}

void ConnectionPool::Release(ConnectionPtr aConnection) {
  if (!aConnection->IsResting()) {
    return;
  }
  if (aConnection->Generation() != this->generation) {
    aConnection->Close("leads to a former server");
    return;
  }
  if (this->resting.size() >= this->settings.maxResting) {
    aConnection->Close("enough connections rest");
    return;
  }
  if (aConnection->Carried().IsFull()) {
    aConnection->Close("carried enough requests");
    return;
  }
  this->resting.push_back(std::move(aConnection));
}

void ConnectionPool::Clear() {
  ++this->generation;
  for (const ConnectionPtr& connection : this->resting) {
    connection->Close("not needed any more");
  }
  this->resting.clear();
}

}  // namespace fescueline
