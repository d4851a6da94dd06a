#include "Outcome/AttemptTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace fescueline {

namespace {
/// Expired entries dropped by each Begin and Query. More than one, so that
/// expiry keeps up with new entries; a constant, so that the time of a call is
/// bounded.
constexpr size_t kDropPerCall = 2;
/// A longer gap between two calls counts as a pause of the process.
constexpr Duration kLongestGap = std::chrono::seconds(1);
/// An attempt has one sender, which queries again when the connection of its
/// query is lost. The oldest waiters are therefore those whose connection is
/// lost.
constexpr size_t kMaxWaiters = 4;
}  // namespace

size_t StoredResponse::Bytes() const {
  size_t bytes = this->body.size();
  for (const StoredHeader& header : this->headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

AttemptTable::AttemptTable(const AttemptTableSettings& aSettings)
    : settings(aSettings) {
  assert(aSettings.queryWindow < aSettings.retention);
  // Avoids a rehash, which would make one Begin take time in proportion to the
  // table size.
  this->entries.reserve(aSettings.maxAttempts + aSettings.maxTombstones);
}

BeginResult AttemptTable::Begin(const Id128& aAttempt, TimePoint aNow) {
  this->AdvanceActiveTime(aNow);
  this->DropExpired(kDropPerCall);
  const auto found = this->entries.find(aAttempt);
  if (found != this->entries.end()) {
    const Entry& entry = found->second;
    return entry.state != EntryState::Running &&
                   entry.outcome == Outcome::NotRun
               ? BeginResult::Tombstoned
               : BeginResult::Duplicate;
  }
  if (this->attempts >= this->settings.maxAttempts) {
    return BeginResult::Full;
  }
  this->entries.emplace(aAttempt, Entry{});
  ++this->attempts;
  ++this->running;
  return BeginResult::Started;
}

std::vector<AttemptWaiter> AttemptTable::Finish(const Id128& aAttempt,
                                                AttemptResult aResult,
                                                TimePoint aNow) {
  this->AdvanceActiveTime(aNow);
  const auto found = this->entries.find(aAttempt);
  if (found == this->entries.end() ||
      found->second.state != EntryState::Running) {
    return {};
  }
  Entry& entry = found->second;
  entry.state = EntryState::Finished;
  entry.outcome = aResult.outcome;
  entry.cause = aResult.cause;
  --this->running;
  if (aResult.outcome == Outcome::Ran && aResult.response != nullptr) {
    this->Store(aAttempt, entry, std::move(aResult.response));
  }
  this->ScheduleExpiry(aAttempt);
  return std::exchange(entry.waiters, {});
}

AttemptReply AttemptTable::Query(const Id128& aAttempt, Duration aAge,
                                 TimePoint aNow,
                                 std::optional<AttemptWaiter> aWaiter) {
  this->AdvanceActiveTime(aNow);
  // The lookup comes before expired entries are dropped: an expired entry that
  // is still present gives a better reply than none.
  const auto found = this->entries.find(aAttempt);
  if (found != this->entries.end()) {
    Entry& entry = found->second;
    if (entry.state == EntryState::Running && aWaiter) {
      std::erase(entry.waiters, *aWaiter);
      if (entry.waiters.size() >= kMaxWaiters) {
        entry.waiters.erase(entry.waiters.begin());
      }
      entry.waiters.push_back(*aWaiter);
    }
    return MakeReply(entry);
  }
  this->DropExpired(kDropPerCall);
  // Without a tombstone "not run" could become false later, and an attempt
  // older than the window may have run and expired.
  if (aAge > this->settings.queryWindow ||
      this->tombstones >= this->settings.maxTombstones) {
    return AttemptReply{};
  }
  const Entry tombstone{.state = EntryState::Tombstone,
                        .outcome = Outcome::NotRun,
                        .cause = Cause::ConnectionLost,
                        .response = nullptr,
                        .waiters = {}};
  this->entries.emplace(aAttempt, tombstone);
  ++this->tombstones;
  this->ScheduleExpiry(aAttempt);
  return MakeReply(tombstone);
}

AttemptReply AttemptTable::ReplyOf(const Id128& aAttempt) const {
  const auto found = this->entries.find(aAttempt);
  return found == this->entries.end() ? AttemptReply{}
                                      : MakeReply(found->second);
}

size_t AttemptTable::Expire(TimePoint aNow) {
  this->AdvanceActiveTime(aNow);
  return this->DropExpired(this->expiries.size());
}

void AttemptTable::AdvanceActiveTime(TimePoint aNow) {
  if (this->lastCall && aNow > *this->lastCall) {
    this->activeTime += std::min<Duration>(aNow - *this->lastCall, kLongestGap);
  }
  this->lastCall = this->lastCall ? std::max(*this->lastCall, aNow) : aNow;
}

size_t AttemptTable::DropExpired(size_t aLimit) {
  size_t dropped = 0;
  while (dropped < aLimit && !this->expiries.empty() &&
         this->expiries.front().at <= this->activeTime) {
    const Id128 attempt = this->expiries.front().attempt;
    this->expiries.pop_front();
    const auto found = this->entries.find(attempt);
    assert(found != this->entries.end());
    Entry& entry = found->second;
    if (entry.response != nullptr) {
      // Responses are stored in the order of expiry.
      assert(this->stored.front() == attempt);
      this->stored.pop_front();
      this->DropResponse(entry);
    }
    (entry.state == EntryState::Tombstone ? this->tombstones
                                          : this->attempts)--;
    this->entries.erase(found);
    ++dropped;
  }
  return dropped;
}

void AttemptTable::ScheduleExpiry(const Id128& aAttempt) {
  this->expiries.push_back(
      {.at = this->activeTime + this->settings.retention, .attempt = aAttempt});
}

void AttemptTable::Store(const Id128& aAttempt, Entry& aEntry,
                         std::shared_ptr<const StoredResponse> aResponse) {
  const size_t bytes = aResponse->Bytes();
  if (bytes > this->settings.maxResponseBytes ||
      bytes > this->settings.maxStoredBytes) {
    return;
  }
  // Queries follow the loss of a connection within seconds, so the oldest
  // response is the least likely one to be queried. Its entry stays.
  while (this->storedBytes + bytes > this->settings.maxStoredBytes) {
    const auto oldest = this->entries.find(this->stored.front());
    assert(oldest != this->entries.end());
    this->stored.pop_front();
    this->DropResponse(oldest->second);
  }
  aEntry.response = std::move(aResponse);
  this->storedBytes += bytes;
  this->stored.push_back(aAttempt);
}

void AttemptTable::DropResponse(Entry& aEntry) {
  this->storedBytes -= aEntry.response->Bytes();
  aEntry.response = nullptr;
}

AttemptReply AttemptTable::MakeReply(const Entry& aEntry) {
  AttemptReply reply{.state = AttemptState::Unknown,
                     .outcome = aEntry.outcome,
                     .cause = aEntry.cause,
                     .response = aEntry.response};
  if (aEntry.state == EntryState::Running) {
    reply.state = AttemptState::Running;
  } else if (aEntry.outcome == Outcome::NotRun) {
    reply.state = AttemptState::NotRun;
  } else if (aEntry.response != nullptr) {
    reply.state = AttemptState::Finished;
  }
  return reply;
}

}  // namespace fescueline
