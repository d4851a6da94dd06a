// Stand-ins of the second review: the platform's store, upstreams, clients and
// the processes of the nodes. Written from PROTOCOL.md and DEPLOY.md.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

inline const Time kStart = Clock::now();
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}
inline void Sleep(double aSeconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
}
inline void SleepUntil(double aTime) {
  while (Now() < aTime) {
    Sleep(std::min(0.05, aTime - Now()));
  }
}
inline std::atomic<bool> gStop{false};

/// Exit codes of a case.
enum Result { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

class Record {
 public:
  static Record& Get() {
    static Record sRecord;
    return sRecord;
  }
  void Open(const std::string& aPath) { this->out.open(aPath); }
  void Line(const std::string& aText) {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Now());
    this->out << time << aText << '\n';
    this->out.flush();
  }

 private:
  std::mutex mutex;
  std::ofstream out;
};
inline void Note(const std::string& aText) { Record::Get().Line(aText); }
inline void Say(const std::string& aText) {
  Note(aText);
  std::printf("%8.3f %s\n", Now(), aText.c_str());
  std::fflush(stdout);
}

// ---------------------------------------------------------------- sockets

struct Address {
  std::string host;
  uint16_t port = 0;
  std::string Text() const {
    return this->host + ":" + std::to_string(this->port);
  }
};

inline sockaddr_in Native(const Address& aAddress) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_port = htons(aAddress.port);
  inet_pton(AF_INET, aAddress.host.c_str(), &native.sin_addr);
  return native;
}

inline int Listen(const Address& aAddress) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in native = Native(aAddress);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(const Address& aAddress, double aTimeout = 1.0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in native = Native(aAddress);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(fd, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) !=
      0) {
    pollfd waiting{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&waiting, 1, static_cast<int>(aTimeout * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  return fd;
}

/// False if the peer closed or the time is over.
inline bool SendAll(int aFd, std::string_view aBytes, double aUntil) {
  while (!aBytes.empty()) {
    const ssize_t sent =
        send(aFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      aBytes.remove_prefix(static_cast<size_t>(sent));
      continue;
    }
    if (errno != EAGAIN || Now() >= aUntil) {
      return false;
    }
    pollfd waiting{aFd, POLLOUT, 0};
    poll(&waiting, 1, 50);
  }
  return true;
}

enum class ReadResult { Bytes, Closed, Reset, Late };

inline ReadResult ReadSome(int aFd, std::string& aInto, double aUntil) {
  while (true) {
    const double left = aUntil - Now();
    if (left <= 0 || gStop) {
      return ReadResult::Late;
    }
    pollfd waiting{aFd, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(std::min(left, 0.1) * 1000) + 1) ==
        0) {
      continue;
    }
    char buffer[65536];
    const ssize_t size = recv(aFd, buffer, sizeof(buffer), MSG_DONTWAIT);
    if (size > 0) {
      aInto.append(buffer, static_cast<size_t>(size));
      return ReadResult::Bytes;
    }
    if (size == 0) {
      return ReadResult::Closed;
    }
    if (errno != EAGAIN && errno != EINTR) {
      return ReadResult::Reset;
    }
  }
}

// ------------------------------------------------------------------- HTTP

inline std::string Lower(std::string aText) {
  std::transform(aText.begin(), aText.end(), aText.begin(),
                 [](unsigned char aByte) { return std::tolower(aByte); });
  return aText;
}

struct Message {
  /// Request line or status line.
  std::string line;
  std::map<std::string, std::string> headers;
  std::string body;
  /// Whether all of the body arrived.
  bool complete = false;

  std::string Header(const std::string& aName) const {
    const auto found = this->headers.find(Lower(aName));
    return found == this->headers.end() ? "" : found->second;
  }
  std::string Method() const {
    return this->line.substr(0, this->line.find(' '));
  }
  std::string Target() const {
    const size_t from = this->line.find(' ');
    return this->line.substr(from + 1, this->line.rfind(' ') - from - 1);
  }
  int Status() const {
    return this->line.size() < 12 ? 0 : std::atoi(this->line.c_str() + 9);
  }
};

enum class Got { Message, Closed, Reset, Late, Partial };

/// Reads one message; bytes behind it stay in aInbox.
inline Got ReadMessage(int aFd, std::string& aInbox, Message& aMessage,
                       double aUntil, bool aIsResponse) {
  aMessage = {};
  size_t end = 0;
  const auto more = [&]() -> std::optional<Got> {
    switch (ReadSome(aFd, aInbox, aUntil)) {
      case ReadResult::Bytes:
        return std::nullopt;
      case ReadResult::Closed:
        return Got::Closed;
      case ReadResult::Reset:
        return Got::Reset;
      case ReadResult::Late:
        return Got::Late;
    }
    return Got::Reset;
  };
  while ((end = aInbox.find("\r\n\r\n")) == std::string::npos) {
    if (const auto failed = more()) {
      return *failed;
    }
  }
  std::istringstream head(aInbox.substr(0, end + 2));
  aInbox.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  aMessage.line = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1, line.find('\r') - colon - 1);
    value.erase(0, value.find_first_not_of(' '));
    aMessage.headers[Lower(line.substr(0, colon))] = value;
  }
  const auto partial = [&](Got aGot) {
    return aGot == Got::Late ? Got::Late : Got::Partial;
  };
  if (Lower(aMessage.Header("Transfer-Encoding")) == "chunked") {
    while (true) {
      size_t eol = 0;
      while ((eol = aInbox.find("\r\n")) == std::string::npos) {
        if (const auto failed = more()) {
          return partial(*failed);
        }
      }
      const size_t size =
          std::strtoul(aInbox.substr(0, eol).c_str(), nullptr, 16);
      while (aInbox.size() < eol + 2 + size + 2) {
        if (const auto failed = more()) {
          return partial(*failed);
        }
      }
      aMessage.body += aInbox.substr(eol + 2, size);
      aInbox.erase(0, eol + 2 + size + 2);
      if (size == 0) {
        aMessage.complete = true;
        return Got::Message;
      }
    }
  }
  const std::string length = aMessage.Header("Content-Length");
  if (length.empty() && aIsResponse && aMessage.Status() >= 200 &&
      aMessage.Status() != 204 && aMessage.Status() != 304) {
    while (true) {
      if (const auto failed = more()) {
        aMessage.body = std::exchange(aInbox, {});
        aMessage.complete = *failed == Got::Closed;
        return aMessage.complete ? Got::Message : partial(*failed);
      }
    }
  }
  const size_t size = std::strtoul(length.c_str(), nullptr, 10);
  while (aInbox.size() < size) {
    if (const auto failed = more()) {
      aMessage.body = aInbox;
      return partial(*failed);
    }
  }
  aMessage.body = aInbox.substr(0, size);
  aInbox.erase(0, size);
  aMessage.complete = true;
  return Got::Message;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string Response(int aStatus, const Headers& aHeaders,
                            const std::string& aBody) {
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

inline std::string Request(const std::string& aMethod,
                           const std::string& aTarget, const Headers& aHeaders,
                           const std::string& aBody = {}) {
  std::string text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  if (!aBody.empty() || aMethod != "GET") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

/// One exchange on a new connection.
inline Got Fetch(const Address& aTo, const std::string& aBytes,
                 Message& aAnswer, double aTimeout) {
  const double until = Now() + aTimeout;
  const int fd = Connect(aTo, std::min(1.0, aTimeout));
  if (fd < 0) {
    return Got::Reset;
  }
  std::string inbox;
  Got got = SendAll(fd, aBytes, until)
                ? ReadMessage(fd, inbox, aAnswer, until, true)
                : Got::Reset;
  close(fd);
  return got;
}

/// Accepts connections and runs a handler for each in a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int)>;
  bool Start(const Address& aAddress, Handler aHandler) {
    this->fd = Listen(aAddress);
    if (this->fd < 0) {
      return false;
    }
    this->handler = std::move(aHandler);
    std::thread([this] {
      while (!gStop && !this->stopped) {
        pollfd waiting{this->fd, POLLIN, 0};
        if (poll(&waiting, 1, 20) != 1) {
          continue;
        }
        const int peer = accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) {
          continue;
        }
        const int on = 1;
        setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, peer] {
          {
            const std::lock_guard lock(this->mutex);
            this->peers.insert(peer);
          }
          this->handler(peer);
          {
            const std::lock_guard lock(this->mutex);
            this->peers.erase(peer);
          }
          close(peer);
        }).detach();
      }
      close(this->fd);
    }).detach();
    return true;
  }

  /// Closes the listener and resets all connections.
  void Stop() {
    this->stopped = true;
    const std::lock_guard lock(this->mutex);
    for (const int peer : this->peers) {
      const linger reset{1, 0};
      setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      shutdown(peer, SHUT_RDWR);
    }
  }

 private:
  int fd = -1;
  Handler handler;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::set<int> peers;
};

// ------------------------------------------------------------------ store

inline std::string ToBase64(const std::string& aBytes) {
  static const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    const size_t left = std::min<size_t>(3, aBytes.size() - i);
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (k < left ? static_cast<unsigned char>(aBytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += k <= left ? kDigits[group >> (18 - 6 * k) & 63] : '=';
    }
  }
  return text;
}

inline std::string FromBase64(const std::string& aText) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : aText) {
    const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (digit < 0) {
      break;
    }
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

/// The platform's store: rows, transactions under conditions, long polls.
class Store {
 public:
  bool Start(const Address& aAddress) {
    return this->server.Start(aAddress, [this](int aFd) {
      std::string inbox;
      Message request;
      while (ReadMessage(aFd, inbox, request, Now() + 60, false) ==
             Got::Message) {
        const std::string answer = this->Serve(request);
        if (!SendAll(aFd, answer, Now() + 5)) {
          return;
        }
      }
    });
  }
  /// Writes a row as the operator does; returns when it is acknowledged.
  double Put(const std::string& aTable, const std::string& aKey,
             const std::string& aValue) {
    const std::lock_guard lock(this->mutex);
    this->tables[aTable][aKey] = {ToBase64(aValue), ++this->version, false};
    this->changed.notify_all();
    return Now();
  }
  std::vector<std::string> Keys(const std::string& aTable) {
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> keys;
    for (const auto& [key, row] : this->tables[aTable]) {
      if (!row.removed) {
        keys.push_back(key);
      }
    }
    return keys;
  }
  /// First word of the value that was last written under a condition on an
  /// earlier version of its row: the name of the node that renews it.
  std::string LastWriter() {
    const std::lock_guard lock(this->mutex);
    return this->lastWriter;
  }

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool removed = false;
  };

  static std::string Decode(const std::string& aText) {
    std::string text;
    for (size_t i = 0; i < aText.size(); ++i) {
      if (aText[i] == '%' && i + 2 < aText.size()) {
        text += static_cast<char>(
            std::strtoul(aText.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        text += aText[i];
      }
    }
    return text;
  }
  static std::string Parameter(const std::string& aTarget,
                               const std::string& aName) {
    const size_t mark = aTarget.find('?');
    std::istringstream pairs(
        mark == std::string::npos ? "" : aTarget.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      if (pair.starts_with(aName + "=")) {
        return Decode(pair.substr(aName.size() + 1));
      }
    }
    return {};
  }
  static Json RowJson(const std::string& aTable, const std::string& aKey,
                      const Row& aRow) {
    Json row = {
        {"table", aTable}, {"part", ""}, {"key", aKey}, {"ver", aRow.version}};
    if (aRow.removed) {
      row["tombstone"] = true;
    } else {
      row["value"] = aRow.value;
    }
    return row;
  }
  Json Stamp(Json aBody) {
    aBody["ver"] = this->version;
    aBody["now-ms"] = static_cast<int64_t>(Now() * 1000) + 50000;
    return aBody;
  }

  std::string Serve(const Message& aRequest) {
    const std::string target = aRequest.Target();
    const std::string path = target.substr(0, target.find('?'));
    const Headers json = {{"Content-Type", "application/json"}};
    std::unique_lock lock(this->mutex);
    if (path == "/v1/rows-tx") {
      lock.unlock();
      Sleep(0.004);
      lock.lock();
      const auto [status, body] = this->Transact(aRequest.body);
      return Response(status, json, body);
    }
    const std::string table = Parameter(target, "table");
    if (path == "/v1/rows-get") {
      const std::string from = Parameter(target, "from");
      Json rows = Json::array();
      for (const auto& [key, row] : this->tables[table]) {
        if (!row.removed && key >= from) {
          rows.push_back(RowJson(table, key, row));
        }
      }
      return Response(
          200, json, this->Stamp({{"rows", rows}, {"has-more", false}}).dump());
    }
    if (path == "/v1/rows-feed") {
      const uint64_t after =
          std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
      const double until =
          Now() + std::atoi(Parameter(target, "wait-ms").c_str()) / 1000.0;
      Json rows = Json::array();
      while (true) {
        std::map<uint64_t, Json> changes;
        for (const auto& [key, row] : this->tables[table]) {
          if (row.version > after) {
            changes[row.version] = RowJson(table, key, row);
          }
        }
        for (const auto& [version, row] : changes) {
          rows.push_back(row);
        }
        if (!rows.empty() || Now() >= until || gStop) {
          break;
        }
        this->changed.wait_for(lock,
                               std::chrono::duration<double>(until - Now()));
      }
      return Response(200, json, this->Stamp({{"rows", rows}}).dump());
    }
    return Response(404, {}, "");
  }

  std::pair<int, std::string> Transact(const std::string& aBody) {
    const Json body = Json::parse(aBody);
    Json current = Json::array();
    bool holds = true;
    for (const Json& item : body.at("expected")) {
      const auto table = item.at("table").get<std::string>();
      const auto key = item.at("key").get<std::string>();
      const auto found = this->tables[table].find(key);
      const bool exists =
          found != this->tables[table].end() && !found->second.removed;
      holds = holds && item.at("ver").get<uint64_t>() ==
                           (exists ? found->second.version : 0);
      if (exists) {
        current.push_back(RowJson(table, key, found->second));
      }
    }
    if (!holds) {
      return {412, this->Stamp({{"rows", current}}).dump()};
    }
    ++this->version;
    for (const Json& item : body.at("puts")) {
      if (body.at("expected").at(0).at("ver").get<uint64_t>() > 0) {
        const std::string text =
            FromBase64(item.at("value").get<std::string>());
        this->lastWriter = text.substr(0, text.find(' '));
      }
      this->tables[item.at("table").get<std::string>()]
                  [item.at("key").get<std::string>()] = {
          item.at("value").get<std::string>(), this->version, false};
    }
    for (const Json& item : body.at("remove")) {
      this->tables[item.at("table").get<std::string>()]
                  [item.at("key").get<std::string>()] = {"", this->version,
                                                         true};
    }
    this->changed.notify_all();
    return {200, this->Stamp(Json::object()).dump()};
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Row>> tables;
  std::string lastWriter;
  uint64_t version = 1;
  Server server;
};

// --------------------------------------------------------------- upstream

/// One application upstream beside a node.
class Upstream {
 public:
  struct Settings {
    Address address;
    std::string service;
    std::string zone;
    Address control;
    uint32_t slots = 50;
    double work = 0.02;
    double beat = 1.5;
  };
  struct Run {
    double at = 0;
    std::string id;
    std::string service;
    std::string instance;
    Message request;
  };

  explicit Upstream(Settings aSettings) : settings(std::move(aSettings)) {
    static std::atomic<uint32_t> sCount{0};
    char text[16];
    std::snprintf(text, sizeof(text), "i-%08x", 0x7f3a0000U + ++sCount * 257U);
    this->id = text;
    this->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
  }
  bool Start() {
    const bool listens =
        this->server.Start(this->settings.address, [this](int aFd) {
          this->custom ? this->custom(aFd) : this->Connection(aFd);
        });
    if (listens) {
      std::thread([this] {
        while (!gStop) {
          if (this->beats) {
            this->SendBeat(this->MakeBeat("ready"));
          }
          Sleep(this->settings.beat);
        }
      }).detach();
    }
    return listens;
  }
  const std::string& Id() const { return this->id; }
  const Settings& Setup() const { return this->settings; }

  /// Whether the upstream sends heartbeats by itself.
  std::atomic<bool> beats{true};
  /// Whether it has said that it leaves; its health path then answers 503.
  std::atomic<bool> leaving{false};
  /// Whether its process has ended.
  std::atomic<bool> gone{false};

  /// Body of the next heartbeat.
  std::string MakeBeat(const std::string& aState) {
    return Json{{"address", this->settings.address.Text()},
                {"born", this->born},
                {"info",
                 {{"service", this->settings.service},
                  {"version", "v1"},
                  {"zone", this->settings.zone},
                  {"slots", this->settings.slots}}},
                {"status",
                 {{"state", aState},
                  {"sequence", ++this->sequence},
                  {"cold-left-ms", 0}}}}
        .dump();
  }
  /// Sends a heartbeat; returns the status, 0 without an answer.
  int SendBeat(const std::string& aBody) {
    return this->Report("POST", "/v1/Instances.Heartbeat/" + this->id, aBody);
  }
  /// Says that it is gone, as `fleetbench wire` shows: without a body.
  int Deregister() {
    this->leaving = true;
    this->beats = false;
    return this->Report("POST", "/v1/Instances.Deregister/" + this->id, "");
  }
  /// Ends the process: connections are reset.
  void Exit() {
    this->gone = true;
    this->server.Stop();
  }

  /// Called as an upstream begins to work on a request.
  std::function<void(const Run&)> onRun;
  /// Answers a run; the default answers 200 after the work.
  std::function<void(int, const Run&)> answer;
  /// Serves a connection instead of Connection, if set.
  std::function<void(int)> custom;
  std::atomic<uint64_t> runs{0};

 private:
  int Report(const std::string& aMethod, const std::string& aTarget,
             const std::string& aBody) {
    Message reply;
    Headers headers = {{"Host", "node"}};
    if (!aBody.empty()) {
      headers.push_back({"Content-Type", "application/json"});
    }
    return Fetch(this->settings.control,
                 Request(aMethod, aTarget, headers, aBody), reply,
                 1.0) == Got::Message
               ? reply.Status()
               : 0;
  }
  void Connection(int aFd) {
    std::string inbox;
    Message request;
    while (ReadMessage(aFd, inbox, request, Now() + 10, false) ==
               Got::Message &&
           !this->gone) {
      if (request.Target() == "/healthz") {
        if (!SendAll(aFd,
                     Response(this->leaving ? 503 : 200,
                              {{"X-Instance-Id", this->id},
                               {"X-Server-Load", this->Load()}},
                              ""),
                     Now() + 1)) {
          return;
        }
        continue;
      }
      const std::string requestId = request.Header("X-Request-Id");
      const std::string wanted = request.Header("X-Target-Instance");
      if (!wanted.empty() && wanted != this->id) {
        if (!SendAll(aFd,
                     Response(421,
                              {{"X-Request-Id", requestId},
                               {"X-Instance-Id", this->id}},
                              ""),
                     Now() + 1)) {
          return;
        }
        continue;
      }
      if (this->running >= static_cast<int>(this->settings.slots)) {
        if (!SendAll(
                aFd,
                Response(503,
                         {{"X-Request-Id", requestId}, {"X-Not-Executed", "1"}},
                         ""),
                Now() + 1)) {
          return;
        }
        continue;
      }
      ++this->running;
      ++this->runs;
      const Run run{.at = Now(),
                    .id = requestId,
                    .service = this->settings.service,
                    .instance = this->id,
                    .request = request};
      if (this->onRun) {
        this->onRun(run);
      }
      if (this->answer) {
        this->answer(aFd, run);
      } else {
        Sleep(this->settings.work);
        if (!this->gone) {
          this->Reply(aFd, run, "answer to " + requestId);
        }
      }
      --this->running;
    }
  }

 public:
  std::string Load() const {
    return std::to_string(this->running) + ",0," +
           std::to_string(this->settings.slots);
  }
  void Reply(int aFd, const Run& aRun, const std::string& aBody) const {
    SendAll(aFd,
            Response(200,
                     {{"X-Request-Id", aRun.id},
                      {"X-Server-Signature", "s-" + aRun.id},
                      {"X-Server-Load", this->Load()}},
                     aBody),
            Now() + 5);
  }

 private:
  Settings settings;
  std::string id;
  int64_t born = 0;
  std::atomic<uint64_t> sequence{0};
  std::atomic<int> running{0};
  Server server;
};

// ------------------------------------------------------------------ nodes

struct Ports {
  uint16_t inbound = 0;
  uint16_t outbound = 0;
  uint16_t ready = 0;
  uint16_t control = 0;
  uint16_t app = 0;
  uint16_t store = 0;
};

/// Ports that are free on all given hosts.
inline std::optional<Ports> FreePorts(const std::vector<std::string>& aHosts) {
  std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 200; ++tries) {
    const auto base = static_cast<uint16_t>(15000 + random() % 12000);
    bool free = true;
    for (const std::string& host : aHosts) {
      for (uint16_t i = 0; i < 6 && free; ++i) {
        const int fd = Listen({host, static_cast<uint16_t>(base + i)});
        free = fd >= 0;
        if (fd >= 0) {
          close(fd);
        }
      }
    }
    if (free) {
      const auto port = [base](int aOffset) {
        return static_cast<uint16_t>(base + aOffset);
      };
      return Ports{port(0), port(1), port(2), port(3), port(4), port(5)};
    }
  }
  return std::nullopt;
}

/// A node: the process of the deploy file with a filled-in template.
class Node {
 public:
  struct Settings {
    std::string name;
    std::string zone;
    std::string host;
    std::string service;
    Ports ports;
    Address store;
    std::map<std::string, std::string> fields;
  };
  explicit Node(Settings aSettings) : settings(std::move(aSettings)) {}

  Address Outbound() const {
    return {this->settings.host, this->settings.ports.outbound};
  }
  Address Inbound() const {
    return {this->settings.host, this->settings.ports.inbound};
  }
  Address Ready() const {
    return {this->settings.host, this->settings.ports.ready};
  }
  Address Control() const {
    return {this->settings.host, this->settings.ports.control};
  }
  Address App() const {
    return {this->settings.host, this->settings.ports.app};
  }
  const Settings& Setup() const { return this->settings; }
  pid_t Pid() const { return this->pid; }

  bool Start(const std::string& aFolder) {
    const std::string file = aFolder + "/" + this->settings.name + ".yaml";
    if (!this->Fill("deploy/node.yaml.tmpl", file)) {
      return false;
    }
    const std::string log = aFolder + "/" + this->settings.name + ".log";
    this->pid = fork();
    if (this->pid == 0) {
      // Ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("FESCUELINE_CONFIG", file.c_str(), 1);
      const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl("target/fescueline", "fescueline", "mesh", nullptr);
      _exit(127);
    }
    return this->pid > 0;
  }
  void Signal(int aSignal) const {
    if (this->pid > 0) {
      kill(this->pid, aSignal);
    }
  }
  /// Waits for the end; returns the wait status, or nullopt if it runs still.
  std::optional<int> Wait(double aTimeout) {
    const double until = Now() + aTimeout;
    int status = 0;
    while (this->pid > 0) {
      if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
        this->pid = -1;
        return status;
      }
      if (Now() >= until) {
        return std::nullopt;
      }
      Sleep(0.01);
    }
    return status;
  }
  void End() {
    if (this->pid > 0) {
      kill(this->pid, SIGCONT);
      kill(this->pid, SIGKILL);
      this->Wait(5);
    }
  }
  bool IsReady() const {
    Message answer;
    return Fetch(this->Ready(), Request("GET", "/v1/readyz", {{"Host", "n"}}),
                 answer, 0.5) == Got::Message &&
           answer.Status() == 200;
  }

 private:
  bool Fill(const std::string& aTemplate, const std::string& aFile) const {
    std::ifstream in(aTemplate);
    std::stringstream text;
    text << in.rdbuf();
    std::string filled = text.str();
    std::map<std::string, std::string> fields = this->settings.fields;
    fields["node-name"] = this->settings.name;
    fields["zone"] = this->settings.zone;
    fields["region"] = "pe-central";
    fields["service"] = this->settings.service;
    fields["app-addr"] = this->App().Text();
    fields["listen.outbound"] = this->Outbound().Text();
    fields["listen.inbound"] = this->Inbound().Text();
    fields["listen.ready"] = this->Ready().Text();
    fields["listen.control"] = this->Control().Text();
    fields["platform.address"] = this->settings.store.Text();
    for (const auto& [name, value] : fields) {
      const std::string mark = "{{" + name + "}}";
      for (size_t at = 0; (at = filled.find(mark)) != std::string::npos;) {
        filled.replace(at, mark.size(), value);
      }
    }
    std::ofstream out(aFile);
    out << filled;
    return in.good() || !filled.empty();
  }

  Settings settings;
  pid_t pid = -1;
};

/// Bounds of the site permisol-lima.
inline std::map<std::string, std::string> LimaFields() {
  return {{"bounds.revoke-ms", "5000"},
          {"bounds.drain-ms", "2000"},
          {"bounds.grace-s", "6"},
          {"heartbeat-ms", "1500"},
          {"bounds.retry-budget-ratio", "0.2"},
          {"bounds.budget-slack", "49"},
          {"bounds.budget-window-s", "10"},
          {"limits.memory-mb", "260"},
          {"limits.max-fds", "4100"}};
}

struct RouteSpec {
  std::string name;
  std::string host;
  std::string prefix;
  std::string type = "safe";
  Json services;
  int timeout = 5000;
  int attempts = 2;
  bool open = false;
  int priority = 0;
};
struct TenantSpec {
  std::string name;
  std::vector<std::string> keys;
  int rate = 0;
  int burst = 0;
};

inline std::string Config(int aVersion, const std::vector<RouteSpec>& aRoutes,
                          const std::vector<std::string>& aServices,
                          const std::vector<TenantSpec>& aTenants) {
  Json resources = Json::array();
  for (const RouteSpec& route : aRoutes) {
    Json spec = {{"host", route.host},
                 {"prefix", route.prefix},
                 {"route-type", route.type},
                 {"timeout-ms", route.timeout},
                 {"target-latency-ms", 1200},
                 {"priority", route.priority},
                 {"max-attempts", route.attempts},
                 {"public", route.open}};
    if (route.services.is_string()) {
      spec["service"] = route.services;
    } else {
      spec["weighted-services"] = route.services;
    }
    resources.push_back({{"resource-type", "routes"},
                         {"metadata", {{"name", route.name}}},
                         {"spec", spec}});
  }
  for (const std::string& service : aServices) {
    resources.push_back({{"resource-type", "services"},
                         {"metadata", {{"name", service}}},
                         {"spec",
                          {{"health-path", "/healthz"},
                           {"max-connections", 850},
                           {"protocol", "h1"},
                           {"tls", false}}}});
  }
  for (const TenantSpec& tenant : aTenants) {
    resources.push_back({{"resource-type", "tenants"},
                         {"metadata", {{"name", tenant.name}}},
                         {"spec",
                          {{"api-keys", tenant.keys},
                           {"priority", 1},
                           {"rate-per-s", tenant.rate},
                           {"burst", tenant.burst}}}});
  }
  resources.push_back({{"resource-type", "limits"},
                       {"metadata", Json::object()},
                       {"spec",
                        {{"max-header-bytes", 16384},
                         {"max-body-bytes", 67108864},
                         {"header-timeout-ms", 3000},
                         {"idle-timeout-ms", 15000}}}});
  return Json{{"version", aVersion}, {"resources", resources}}.dump();
}

/// A fleet of nodes with one upstream each, and the store.
class Fleet {
 public:
  Fleet() {
    char path[] = "/tmp/review-2-XXXXXX";
    this->folder = mkdtemp(path);
    signal(SIGPIPE, SIG_IGN);
  }
  ~Fleet() { this->End(); }
  Fleet(const Fleet&) = delete;

  /// aServices: service of each node; node i stands in zone i mod aZones.
  bool Start(const std::vector<std::string>& aServices, int aZones,
             const std::string& aFirstConfig,
             const std::function<void(Upstream&)>& aPrepare = {}) {
    std::vector<std::string> hosts;
    for (size_t i = 0; i < aServices.size(); ++i) {
      hosts.push_back("127.0.1." + std::to_string(10 + i));
    }
    const auto ports = FreePorts(hosts);
    if (!ports) {
      return false;
    }
    this->storeAddress = {hosts[0], ports->store};
    if (!this->store.Start(this->storeAddress)) {
      return false;
    }
    this->store.Put("op", "config", aFirstConfig);
    for (size_t i = 0; i < aServices.size(); ++i) {
      const std::string zone =
          "pe-central-" + std::string(1, static_cast<char>('a' + i % aZones));
      this->nodes.push_back(std::make_unique<Node>(Node::Settings{
          .name = "sidecar-" + zone + "-" + std::to_string(i / aZones + 1),
          .zone = zone,
          .host = hosts[i],
          .service = aServices[i],
          .ports = *ports,
          .store = this->storeAddress,
          .fields = this->Fields()}));
    }
    for (const auto& node : this->nodes) {
      if (!node->Start(this->folder)) {
        return false;
      }
      this->upstreams.push_back(std::make_unique<Upstream>(
          Upstream::Settings{.address = node->App(),
                             .service = node->Setup().service,
                             .zone = node->Setup().zone,
                             .control = node->Control()}));
      if (aPrepare) {
        aPrepare(*this->upstreams.back());
      }
      if (!this->upstreams.back()->Start()) {
        return false;
      }
    }
    const double until = Now() + 10;
    for (const auto& node : this->nodes) {
      while (!node->IsReady()) {
        if (Now() > until) {
          return false;
        }
        Sleep(0.05);
      }
    }
    Sleep(3);
    return true;
  }
  /// The machine loses power: nothing answers, and no connection is reset.
  void PowerOff(size_t aIndex) {
    this->upstreams[aIndex]->beats = false;
    this->nodes[aIndex]->Signal(SIGSTOP);
  }
  /// The machine starts again, with new processes.
  bool PowerOn(size_t aIndex) {
    this->nodes[aIndex]->Signal(SIGKILL);
    this->nodes[aIndex]->Wait(3);
    Upstream& old = *this->upstreams[aIndex];
    old.Exit();
    auto next = std::make_unique<Upstream>(old.Setup());
    next->onRun = old.onRun;
    next->answer = old.answer;
    bool started = this->nodes[aIndex]->Start(this->folder);
    const double until = Now() + 2;
    while (!next->Start() && Now() < until) {
      Sleep(0.02);
    }
    // Threads of the old one may still use it.
    static_cast<void>(this->upstreams[aIndex].release());
    this->upstreams[aIndex] = std::move(next);
    return started;
  }
  void End() {
    gStop = true;
    for (const auto& node : this->nodes) {
      node->End();
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  /// Fields of the settings that differ from those of permisol-lima.
  std::map<std::string, std::string> extra;
  std::map<std::string, std::string> Fields() const {
    std::map<std::string, std::string> fields = LimaFields();
    for (const auto& [name, value] : this->extra) {
      fields[name] = value;
    }
    return fields;
  }

  std::string folder;
  Store store;
  Address storeAddress;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Upstream>> upstreams;
};

inline bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace rig
