#pragma once

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "Core/Time.h"
#include "Http1/LoopHttpServer.h"

namespace fescueline {

/// Stand-in for the platform's store, written from its published protocol: rows
/// with conditional writes, range reads, and long polls for changes. The owner
/// can inject faults. Runs on the event loop.
class StoreStandIn {
 public:
  /// Faults to inject.
  struct Faults {
    /// Answers every call with 503 and does nothing.
    bool down = false;
    /// Answers no call.
    bool silent = false;
    /// Delay before each call is served.
    Duration slow{};
    /// Share of the writes that are performed and not answered, 0 to 1.
    double loseAnswers = 0;
  };

  StoreStandIn(asio::io_context& aIo, uint16_t aPort = 0);

  uint16_t Port() const { return this->server.Port(); }
  Faults& Fault() { return this->faults; }
  /// Writes a row unconditionally, as the operator does.
  void Put(const std::string& aTable, const std::string& aKey,
           const std::string& aValue);
  /// Discards the history: long polls for earlier changes are answered with
  /// 410.
  void ForgetHistory() { this->oldestKnown = this->version + 1; }
  /// Keys of the rows of a table.
  std::vector<std::string> Keys(const std::string& aTable) const;
  uint64_t Reads() const { return this->reads; }
  uint64_t Writes() const { return this->writes; }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool removed = false;
  };
  /// A pending long poll.
  struct Waiter {
    std::string table;
    uint64_t after = 0;
    HttpExchangePtr exchange;
    TimePoint until;
  };

  void OnRequest(const HttpExchangePtr& aExchange);
  void Serve(const HttpExchangePtr& aExchange);
  HttpResponse Transact(const std::string& aBody);
  HttpResponse Range(const std::string& aTable, const std::string& aFrom,
                     size_t aLimit) const;
  /// Response body with the rows that changed after a version.
  std::string Changes(const std::string& aTable, uint64_t aAfter) const;
  void WakeWaiters();
  void ScheduleExpiry();

  asio::io_context& io;
  asio::steady_timer timer;
  LoopHttpServer server;
  Faults faults;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::list<Waiter> waiters;
  uint64_t version = 1;
  uint64_t oldestKnown = 0;
  uint64_t reads = 0;
  uint64_t writes = 0;
  TimePoint startedAt;
};

}  // namespace fescueline
