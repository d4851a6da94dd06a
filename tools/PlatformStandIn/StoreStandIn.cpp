#include "StoreStandIn.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "Base64.h"
#include "Core/Error.h"
#include "Core/RandomSource.h"

namespace fescueline {

namespace {
using Json = nlohmann::json;

/// Interval at which long polls are checked for expiry.
constexpr Duration kWaitStep = std::chrono::milliseconds(20);
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConditionFailed = 412;
constexpr int kUnavailable = 503;

/// Value of a query parameter, decoded; empty if it is absent.
std::string Parameter(std::string_view aTarget, std::string_view aName) {
  const size_t mark = aTarget.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    if (!pair.starts_with(aName) || pair.size() <= aName.size() ||
        pair[aName.size()] != '=') {
      continue;
    }
    std::string value;
    for (size_t i = aName.size() + 1; i < pair.size(); ++i) {
      if (pair[i] == '%' && i + 2 < pair.size()) {
        int byte = 0;
        std::from_chars(pair.data() + i + 1, pair.data() + i + 3, byte, 16);
        value.push_back(static_cast<char>(byte));
        i += 2;
      } else {
        value.push_back(pair[i]);
      }
    }
    return value;
  }
  return {};
}

uint64_t Number(const std::string& aText, uint64_t aDefault) {
  uint64_t value = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}
}  // namespace

StoreStandIn::StoreStandIn(asio::io_context& aIo, uint16_t aPort)
    : io(aIo),
      timer(aIo),
      server({.io = aIo,
              .host = "127.0.0.1",
              .port = aPort,
              .onRequest =
                  [this](const HttpExchangePtr& aExchange) {
                    this->OnRequest(aExchange);
                  }}),
      startedAt(SteadyClock().Now()) {
  this->server.Start();
  this->ScheduleExpiry();
}

void StoreStandIn::Put(const std::string& aTable, const std::string& aKey,
                       const std::string& aValue) {
  this->tables[aTable][aKey] = {.value = aValue, .version = ++this->version};
  this->WakeWaiters();
}

std::vector<std::string> StoreStandIn::Keys(const std::string& aTable) const {
  std::vector<std::string> keys;
  const auto found = this->tables.find(aTable);
  if (found != this->tables.end()) {
    for (const auto& [key, row] : found->second) {
      if (!row.removed) {
        keys.push_back(key);
      }
    }
  }
  return keys;
}

void StoreStandIn::OnRequest(const HttpExchangePtr& aExchange) {
  if (this->faults.silent) {
    // The exchange stays open without a response until the caller gives up.
    aExchange->OnAbort([kept = aExchange] { static_cast<void>(kept); });
    return;
  }
  if (this->faults.down) {
    aExchange->Respond({.status = kUnavailable});
    return;
  }
  if (this->faults.slow == Duration::zero()) {
    this->Serve(aExchange);
    return;
  }
  const auto delay =
      std::make_shared<asio::steady_timer>(this->io, this->faults.slow);
  delay->async_wait([this, delay, aExchange](const asio::error_code&) {
    this->Serve(aExchange);
  });
}

void StoreStandIn::Serve(const HttpExchangePtr& aExchange) {
  const HttpRequest& request = aExchange->Request();
  const std::string_view path = PathOf(request.target);
  const std::string table = Parameter(request.target, "table");
  if (path == "/v1/rows-tx") {
    ++this->writes;
    HttpResponse response = this->Transact(request.body);
    if (ThreadRandom().NextDouble() < this->faults.loseAnswers) {
      aExchange->StartStream(response.status, {}, response.body.size() + 1);
      aExchange->EndStream(false);
      return;
    }
    aExchange->Respond(std::move(response));
  } else if (path == "/v1/rows-get") {
    ++this->reads;
    aExchange->Respond(
        this->Range(table, Parameter(request.target, "from"),
                    Number(Parameter(request.target, "limit"), 500)));
  } else if (path == "/v1/rows-feed") {
    ++this->reads;
    const uint64_t after = Number(Parameter(request.target, "after"), 0);
    if (after < this->oldestKnown) {
      aExchange->Respond({.status = kGone});
      return;
    }
    this->waiters.push_back(
        {.table = table,
         .after = after,
         .exchange = aExchange,
         .until = SteadyClock().Now() +
                  std::chrono::milliseconds(
                      Number(Parameter(request.target, "wait-ms"), 0))});
    this->WakeWaiters();
  } else {
    aExchange->Respond({.status = kNotFound});
  }
}

HttpResponse StoreStandIn::Transact(const std::string& aBody) {
  try {
    const Json body = Json::parse(aBody);
    Json current = Json::array();
    bool holds = true;
    for (const Json& item : body.at("expected")) {
      const auto& rows = this->tables[item.at("table").get<std::string>()];
      const auto key = item.at("key").get<std::string>();
      const auto found = rows.find(key);
      const bool exists = found != rows.end() && !found->second.removed;
      const uint64_t version = exists ? found->second.version : 0;
      holds = holds && version == item.at("ver").get<uint64_t>();
      if (exists) {
        current.push_back({{"table", item.at("table")},
                           {"part", ""},
                           {"key", key},
                           {"value", platform::ToBase64(found->second.value)},
                           {"ver", version}});
      }
    }
    if (!holds) {
      return {.status = kConditionFailed,
              .body = Json{{"rows", current}}.dump()};
    }
    ++this->version;
    for (const Json& item : body.at("puts")) {
      this->tables[item.at("table").get<std::string>()]
                  [item.at("key").get<std::string>()] = {
          .value = platform::FromBase64(item.at("value").get<std::string>()),
          .version = this->version};
    }
    for (const Json& item : body.at("remove")) {
      this->tables[item.at("table").get<std::string>()]
                  [item.at("key").get<std::string>()] = {
          .version = this->version, .removed = true};
    }
  } catch (const std::exception& failure) {
    return {.status = kBadRequest, .body = failure.what()};
  }
  asio::post(this->io, [this] { this->WakeWaiters(); });
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock().Now() - this->startedAt);
  return {.status = 200,
          .body = Json{{"ver", this->version}, {"now-ms", now.count()}}.dump()};
}

HttpResponse StoreStandIn::Range(const std::string& aTable,
                                 const std::string& aFrom,
                                 size_t aLimit) const {
  Json rows = Json::array();
  bool more = false;
  const auto table = this->tables.find(aTable);
  if (table != this->tables.end()) {
    for (auto row = table->second.lower_bound(aFrom);
         row != table->second.end(); ++row) {
      if (row->second.removed) {
        continue;
      }
      if (rows.size() == aLimit) {
        more = true;
        break;
      }
      rows.push_back({{"table", aTable},
                      {"part", ""},
                      {"key", row->first},
                      {"value", platform::ToBase64(row->second.value)},
                      {"ver", row->second.version}});
    }
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock().Now() - this->startedAt);
  return {.status = 200,
          .body = Json{{"rows", rows},
                       {"has-more", more},
                       {"ver", this->version},
                       {"now-ms", now.count()}}
                      .dump()};
}

std::string StoreStandIn::Changes(const std::string& aTable,
                                  uint64_t aAfter) const {
  std::map<uint64_t, Json> changed;
  const auto table = this->tables.find(aTable);
  if (table != this->tables.end()) {
    for (const auto& [key, row] : table->second) {
      if (row.version <= aAfter) {
        continue;
      }
      Json item = {
          {"table", aTable}, {"part", ""}, {"key", key}, {"ver", row.version}};
      if (row.removed) {
        item["tombstone"] = true;
      } else {
        item["value"] = platform::ToBase64(row.value);
      }
      changed.emplace(row.version, std::move(item));
    }
  }
  Json rows = Json::array();
  for (auto& [version, item] : changed) {
    rows.push_back(std::move(item));
  }
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      SteadyClock().Now() - this->startedAt);
  return Json{{"rows", rows}, {"ver", this->version}, {"now-ms", now.count()}}
      .dump();
}

void StoreStandIn::WakeWaiters() {
  const TimePoint now = SteadyClock().Now();
  std::list<Waiter> waiting;
  waiting.swap(this->waiters);
  for (Waiter& waiter : waiting) {
    bool changed = false;
    for (const auto& [key, row] : this->tables[waiter.table]) {
      changed = changed || row.version > waiter.after;
    }
    if (changed || now >= waiter.until) {
      waiter.exchange->Respond(
          {.status = 200, .body = this->Changes(waiter.table, waiter.after)});
    } else {
      this->waiters.push_back(std::move(waiter));
    }
  }
}

void StoreStandIn::ScheduleExpiry() {
  this->timer.expires_after(kWaitStep);
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (!aError) {
      this->WakeWaiters();
      this->ScheduleExpiry();
    }
  });
}

}  // namespace fescueline
