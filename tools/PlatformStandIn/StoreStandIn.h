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

/// The platform's store, written from its published protocol: rows with
/// conditional writes, ranges, and calls that wait for changes. Faults are
/// switched by the owner. Runs on the loop.
class StoreStandIn {
 public:
  /// How the store misbehaves.
  struct Faults {
    /// Answers 503, with no effect.
    bool down = false;
    /// Answers nothing.
    bool silent = false;
    /// Delay of every answer.
    Duration slow{};
    /// Share of the writes that are done and not answered.
    double loseAnswers = 0;
  };

  StoreStandIn(asio::io_context& aIo, uint16_t aPort = 0);

  uint16_t Port() const { return this->server.Port(); }
  Faults& Fault() { return this->faults; }
  /// Writes a row as the operator does; the return is the acknowledgement.
  void Put(const std::string& aTable, const std::string& aKey,
           const std::string& aValue);
  /// Drops the history: calls for earlier changes are told so.
  void ForgetHistory() { this->oldestKnown = this->version + 1; }
  /// Keys of the rows that a table has.
  std::vector<std::string> Keys(const std::string& aTable) const;
  uint64_t Reads() const { return this->reads; }
  uint64_t Writes() const { return this->writes; }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool removed = false;
  };
  /// A call that waits for a change.
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
  /// Rows changed after a version; nothing if there are none.
  std::string Changes(const std::string& aTable, uint64_t aAfter) const;
  void WakeWaiters();
  void EndWaits();

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
