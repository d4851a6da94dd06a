#include "Http1/ConnectionPool.h"

#include <algorithm>

namespace fescueline {

bool ConnectionPool::IsUsable(const HttpClientConnection& aConnection,
                              Duration aMaxIdleTime, TimePoint aNow) const {
  Duration limit = this->settings.maxIdleTime;
  if (const auto stated = aConnection.ServerIdleTimeout()) {
    limit = std::max(*stated - this->settings.idleMargin, *stated / 2);
  }
  return aConnection.IsIdle() &&
         aNow - aConnection.IdleSince() <= std::min(limit, aMaxIdleTime);
}

void ConnectionPool::Sweep(TimePoint aNow) {
  std::erase_if(this->idle, [&](const ConnectionPtr& aConnection) {
    if (this->IsUsable(*aConnection, Duration::max(), aNow)) {
      return false;
    }
    aConnection->Close("rested too long");
    return true;
  });
}

ConnectionPool::ConnectionPtr ConnectionPool::TakeIdle(
    std::string_view aRequestId, Duration aMaxIdleTime) {
  const TimePoint now = SteadyClock().Now();
  this->Sweep(now);
  const auto usable = [&](const ConnectionPtr& aConnection) {
    return this->IsUsable(*aConnection, aMaxIdleTime, now);
  };
  const auto fits = [&](const ConnectionPtr& aConnection) {
    return usable(aConnection) && !aConnection->Carried().Contains(aRequestId);
  };
  const auto found = std::find_if(this->idle.rbegin(), this->idle.rend(), fits);
  if (found != this->idle.rend()) {
    ConnectionPtr connection = std::move(*found);
    this->idle.erase(std::next(found).base());
    return connection;
  }
  if (!this->idle.empty() && usable(this->idle.back())) {
    // Replaced, or a caller that repeats an identifier would leave one more
    // connection with each request.
    this->idle.back()->Close("carried the request before");
    this->idle.pop_back();
  }
  return nullptr;
}

void ConnectionPool::AcquireFor(std::string_view aRequestId,
                                Duration aMaxIdleTime, const Done& aDone) {
  if (ConnectionPtr connection = this->TakeIdle(aRequestId, aMaxIdleTime)) {
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
      this->settings.io, this->settings.onUnsolicited);
  connection->SetGeneration(this->generation);
  connection->Connect(this->settings.peer, this->settings.connectTimeout,
                      [connection, aDone](const std::string& aError) {
                        aDone(aError.empty() ? connection : nullptr, aError);
                      });
}

void ConnectionPool::Release(ConnectionPtr aConnection) {
  if (!aConnection->IsIdle()) {
    return;
  }
  if (aConnection->Generation() != this->generation) {
    aConnection->Close("leads to a former server");
    return;
  }
  if (this->idle.size() >= this->settings.maxIdle) {
    aConnection->Close("enough connections rest");
    return;
  }
  if (aConnection->Carried().IsFull()) {
    aConnection->Close("carried enough requests");
    return;
  }
  this->idle.push_back(std::move(aConnection));
}

void ConnectionPool::Clear() {
  ++this->generation;
  for (const ConnectionPtr& connection : this->idle) {
    connection->Close("not needed any more");
  }
  this->idle.clear();
}

}  // namespace fescueline
