#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Mesh/RowStore.h"

namespace fescueline::test {

/// In-memory store with one table. Calls are queued until the test answers or
/// fails them. Not thread-safe.
class FakeRowStore final : public RowStore {
 public:
  /// A pending call.
  struct Call {
    std::string what;
    RowWrite write;
    Done done;
    uint64_t after = 0;
    /// Long-poll time of a Follow call.
    Duration wait{};
  };

  void Read(const std::string&, const std::string&, Done aDone) override {
    this->calls.push_back({.what = "read", .done = std::move(aDone)});
  }
  void Follow(const std::string&, uint64_t aAfter, Duration aWait,
              Done aDone) override {
    this->calls.push_back({.what = "follow",
                           .done = std::move(aDone),
                           .after = aAfter,
                           .wait = aWait});
  }
  void Write(const RowWrite& aWrite, Done aDone) override {
    this->calls.push_back(
        {.what = "write", .write = aWrite, .done = std::move(aDone)});
  }

  /// Performs and answers the oldest call.
  void Answer() {
    const Call call = this->Take();
    call.done(this->Perform(call));
  }
  /// Answers the oldest call with a failure. Its write is performed anyway if
  /// aPerform.
  void Fail(StoreStatus aStatus, bool aPerform = false) {
    const Call call = this->Take();
    if (aPerform) {
      this->Perform(call);
    }
    call.done({.status = aStatus});
  }
  /// Removes the oldest call from the queue, for the test to answer later.
  Call Take() {
    Call call = std::move(this->calls.front());
    this->calls.pop_front();
    return call;
  }
  StoreReply Perform(const Call& aCall) {
    if (aCall.what == "write") {
      return this->PerformWrite(aCall.write);
    }
    StoreReply reply = this->Reply(StoreStatus::Done);
    for (const auto& [key, row] : this->rows) {
      if (row.version > aCall.after &&
          (aCall.what == "follow" || !row.removed)) {
        reply.rows.push_back(row);
      }
    }
    return reply;
  }
  /// Writes a row as another node would.
  void Put(const std::string& aKey, const std::string& aValue) {
    this->rows[aKey] = {
        .key = aKey, .value = aValue, .version = ++this->version};
  }

  std::deque<Call> calls;
  std::map<std::string, StoredRow> rows;
  uint64_t version = 10;
  /// The store's clock.
  Duration now = std::chrono::seconds(100);

 private:
  StoreReply Reply(StoreStatus aStatus) const {
    return {
        .status = aStatus, .version = this->version, .storeTime = this->now};
  }
  StoreReply PerformWrite(const RowWrite& aWrite) {
    const auto found = this->rows.find(aWrite.key);
    const bool exists = found != this->rows.end() && !found->second.removed;
    if ((exists ? found->second.version : 0) != aWrite.expected) {
      StoreReply reply = this->Reply(StoreStatus::Conflict);
      if (exists) {
        reply.rows.push_back(found->second);
      }
      return reply;
    }
    ++this->version;
    this->rows[aWrite.key] = {.key = aWrite.key,
                              .value = aWrite.value.value_or(""),
                              .version = this->version,
                              .removed = !aWrite.value};
    return this->Reply(StoreStatus::Done);
  }
};

}  // namespace fescueline::test
