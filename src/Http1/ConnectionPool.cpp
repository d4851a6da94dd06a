#include "Http1/ConnectionPool.h"

#include <algorithm>

namespace fescueline {

bool ConnectionPool::IsUsable(const HttpClientConnection& aConnection,
                              Duration aMaxIdleTime, TimePoint aNow) const {
  Duration limit = this->settings.maxIdleTime;
  if (const auto announced = aConnection.ServerIdleTimeout()) {
    limit = std::max(*announced - this->settings.idleMargin, *announced / 2);
  }
  return aConnection.IsIdle() &&
         aNow - aConnection.IdleSince() <= std::min(limit, aMaxIdleTime);
}

void ConnectionPool::Sweep(TimePoint aNow) {
  std::erase_if(this->idle, [&](const ConnectionPtr& aConnection) {
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
           !aConnection->RequestIds().Contains(aRequestId);
  };
  const auto found =
      std::find_if(this->idle.rbegin(), this->idle.rend(), isCandidate);
  if (found != this->idle.rend()) {
    ConnectionPtr connection = std::move(*found);
    this->idle.erase(std::next(found).base());
    return connection;
  }
  if (!this->idle.empty() && isReusable(this->idle.back())) {
    // The new connection replaces this one. Otherwise a caller that reuses a
    // request id would add an idle connection with each request.
    this->idle.back()->Close("request id was already sent on this connection");
    this->idle.pop_back();
  }
  return nullptr;
}

void ConnectionPool::AcquireFor(std::string_view aRequestId,
                                Duration aMaxIdleTime, const Done& aDone) {
  if (ConnectionPtr connection = this->TakeIdle(aRequestId, aMaxIdleTime)) {
    connection->RequestIds().Add(aRequestId);
    aDone(std::move(connection), {});
    return;
  }
  this->AcquireNew([id = std::string(aRequestId), aDone](
                       ConnectionPtr aConnection, const std::string& aError) {
    if (aConnection) {
      aConnection->RequestIds().Add(id);
    }
    aDone(std::move(aConnection), aError);
  });
}

void ConnectionPool::AcquireNew(const Done& aDone) {
  ++this->created;
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
    aConnection->Close("connected to a previous server");
    return;
  }
  if (this->idle.size() >= this->settings.maxIdle) {
    aConnection->Close("too many idle connections");
    return;
  }
  if (aConnection->RequestIds().IsFull()) {
    aConnection->Close("request limit of the connection reached");
    return;
  }
  this->idle.push_back(std::move(aConnection));
}

void ConnectionPool::Clear() {
  ++this->generation;
  for (const ConnectionPtr& connection : this->idle) {
    connection->Close("pool cleared");
  }
  this->idle.clear();
}

}  // namespace fescueline
