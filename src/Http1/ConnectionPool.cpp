#include "Http1/ConnectionPool.h"

#include <algorithm>

namespace fescueline {

bool ConnectionPool::IsUsable(const HttpClientConnection& aConnection,
                              Duration aMaxIdleTime, TimePoint aNow) const {
  Duration limit = this->settings.maxRest;
  if (const auto announced = aConnection.ServerIdleTimeout()) {
    limit = std::max(*announced - this->settings.restMargin, *announced / 2);
  }
  return aConnection.IsResting() &&
         aNow - aConnection.RestingSince() <= std::min(limit, aMaxIdleTime);
}

void ConnectionPool::Sweep(TimePoint aNow) {
  std::erase_if(this->resting, [&](const ConnectionPtr& aConnection) {
    if (this->IsUsable(*aConnection, Duration::max(), aNow)) {
      return false;
    }
    aConnection->Close("idle too long");
    return true;
  });
}

ConnectionPool::ConnectionPtr ConnectionPool::TakeIdle(
    std::string_view aRequestId, Duration aMaxIdleTime) {
  const TimePoint now = SteadyClock().Now();
  this->Sweep(now);
  const auto isReusable = [&](const ConnectionPtr& aConnection) {
    return this->IsUsable(*aConnection, aMaxIdleTime, now);
  };
  const auto isCandidate = [&](const ConnectionPtr& aConnection) {
    return isReusable(aConnection) &&
           !aConnection->Carried().Contains(aRequestId);
  };
  const auto found =
      std::find_if(this->resting.rbegin(), this->resting.rend(), isCandidate);
  if (found != this->resting.rend()) {
    ConnectionPtr connection = std::move(*found);
    this->resting.erase(std::next(found).base());
    return connection;
  }
  if (!this->resting.empty() && isReusable(this->resting.back())) {
    // The new connection replaces this one. Otherwise a caller that reuses a
    // request id would add an idle connection with each request.
    this->resting.back()->Close(
        "request id was already sent on this connection");
    this->resting.pop_back();
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
  ++this->created;
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
    aConnection->Close("connected to a previous server");
    return;
  }
  if (this->resting.size() >= this->settings.maxResting) {
    aConnection->Close("too many idle connections");
    return;
  }
  if (aConnection->Carried().IsFull()) {
    aConnection->Close("request limit of the connection reached");
    return;
  }
  this->resting.push_back(std::move(aConnection));
}

void ConnectionPool::Clear() {
  ++this->generation;
  for (const ConnectionPtr& connection : this->resting) {
    connection->Close("pool cleared");
  }
  this->resting.clear();
}

}  // namespace fescueline
