// Small stand-ins for a review case: the platform's store, upstreams, clients,
// and real processes of `target/fescueline mesh`. All on loopback.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
inline double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}
inline void SleepMs(int aMs) {
  std::this_thread::sleep_for(milliseconds(aMs));
}

// ---------------------------------------------------------------- record
class Record {
 public:
  static Record& Get() {
    static Record sRecord;
    return sRecord;
  }
  void Open(const std::string& aPath) { this->file.open(aPath); }
  /// Writes the last line.
  void Close(const std::string& aText) {
    this->Line(aText);
    const std::lock_guard lock(this->mutex);
    this->closed = true;
  }
  void Line(const std::string& aText) {
    const std::lock_guard lock(this->mutex);
    if (this->closed) {
      return;
    }
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", Now());
    if (this->file.is_open()) {
      this->file << stamp << aText << std::endl;
    }
    std::fprintf(stderr, "%s%s\n", stamp, aText.c_str());
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  bool closed = false;
};
inline void Note(const std::string& aText) { Record::Get().Line(aText); }

// ---------------------------------------------------------------- sockets
inline int FreePort() {
  static std::mutex sMutex;
  static std::set<int> sTaken;
  static std::mt19937 sRandom(std::random_device{}());
  const std::lock_guard lock(sMutex);
  while (true) {
    const int port = 11000 + static_cast<int>(sRandom() % 20000);
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free =
        ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
        0;
    ::close(socket);
    if (free && sTaken.insert(port).second) {
      return port;
    }
  }
}

inline int Listen(int aPort) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      ::listen(socket, 512) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  return socket;
}

/// aMaxSegment: size of the segments of the connection, as on a network; 0
/// leaves that of loopback, 64 KB.
inline int Connect(int aPort, int aReceiveBuffer = 0, int aMaxSegment = 0) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer,
                 sizeof aReceiveBuffer);
  }
  if (aMaxSegment > 0) {
    ::setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &aMaxSegment,
                 sizeof aMaxSegment);
  }
  const int on = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address),
                sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  return socket;
}

inline bool SendAll(int aSocket, const std::string& aBytes) {
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t n = ::send(aSocket, aBytes.data() + sent,
                             aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

/// Resets the connection.
inline void Reset(int aSocket) {
  linger option{1, 0};
  ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  ::close(aSocket);
}

// ---------------------------------------------------------------- HTTP
inline std::string Lower(std::string aText) {
  std::transform(aText.begin(), aText.end(), aText.begin(), ::tolower);
  return aText;
}

struct Message {
  std::string first;
  std::map<std::string, std::string> headers;
  std::string body;
  bool complete = false;
  std::string error;

  std::string Header(const std::string& aName) const {
    const auto found = this->headers.find(Lower(aName));
    return found == this->headers.end() ? "" : found->second;
  }
  std::string Word(int aIndex) const {
    std::istringstream words(this->first);
    std::string word;
    for (int i = 0; i <= aIndex; ++i) {
      word.clear();
      words >> word;
    }
    return word;
  }
  int Status() const { return std::atoi(this->Word(1).c_str()); }
  std::string Method() const { return this->Word(0); }
  std::string Target() const { return this->Word(1); }
};

/// Reads messages from a socket. aReadPart and aPauseMs bound how fast.
class Reader {
 public:
  explicit Reader(int aSocket) : socket(aSocket) {}
  size_t part = 65536;
  int pauseMs = 0;
  /// Gives up at this time, if set.
  std::optional<Clock::time_point> until;
  /// Called once the head has been read.
  std::function<void(const Message&)> onHead;

  bool Next(Message& aMessage) {
    aMessage = Message{};
    size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(aMessage)) {
        return false;
      }
    }
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::getline(head, aMessage.first);
    while (!aMessage.first.empty() && aMessage.first.back() == '\r') {
      aMessage.first.pop_back();
    }
    std::string line;
    while (std::getline(head, line)) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        size_t begin = colon + 1;
        while (begin < line.size() && line[begin] == ' ') {
          ++begin;
        }
        aMessage.headers[Lower(line.substr(0, colon))] = line.substr(begin);
      }
    }
    if (this->onHead) {
      this->onHead(aMessage);
    }
    if (Lower(aMessage.Header("transfer-encoding")) == "chunked") {
      while (true) {
        size_t at = 0;
        while ((at = this->buffer.find("\r\n")) == std::string::npos) {
          if (!this->Fill(aMessage)) {
            return false;
          }
        }
        const size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
        this->buffer.erase(0, at + 2);
        while (this->buffer.size() < size + 2) {
          if (!this->Fill(aMessage)) {
            return false;
          }
        }
        aMessage.body += this->buffer.substr(0, size);
        this->buffer.erase(0, size + 2);
        if (size == 0) {
          break;
        }
      }
    } else {
      const size_t length =
          std::strtoul(aMessage.Header("content-length").c_str(), nullptr, 10);
      while (this->buffer.size() < length) {
        if (!this->Fill(aMessage)) {
          aMessage.body = this->buffer;
          return false;
        }
      }
      aMessage.body = this->buffer.substr(0, length);
      this->buffer.erase(0, length);
    }
    aMessage.complete = true;
    return true;
  }
  bool HasMore() const { return !this->buffer.empty(); }

 private:
  bool Fill(Message& aMessage) {
    if (this->pauseMs > 0) {
      SleepMs(this->pauseMs);
    }
    if (this->until) {
      const auto left = std::chrono::duration_cast<milliseconds>(
          *this->until - Clock::now());
      pollfd waiting{this->socket, POLLIN, 0};
      if (left.count() <= 0 ||
          ::poll(&waiting, 1, static_cast<int>(left.count())) == 0) {
        aMessage.error = "no answer in time";
        return false;
      }
    }
    std::string bytes(this->part, 0);
    const ssize_t n = ::recv(this->socket, bytes.data(), bytes.size(), 0);
    if (n <= 0) {
      aMessage.error = n == 0 ? "closed" : std::strerror(errno);
      return false;
    }
    this->buffer.append(bytes, 0, static_cast<size_t>(n));
    return true;
  }
  int socket;
  std::string buffer;
};

/// Serves connections, each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int aSocket)>;
  Server(int aPort, Handler aHandler)
      : port(aPort), listener(Listen(aPort)), handler(std::move(aHandler)) {
    std::thread([this] {
      while (true) {
        const int socket = ::accept4(this->listener, nullptr, nullptr,
                                     SOCK_CLOEXEC);
        if (socket < 0) {
          return;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, socket] { this->handler(socket); }).detach();
      }
    }).detach();
  }
  int Port() const { return this->port; }

 private:
  int port;
  int listener;
  Handler handler;
};

inline std::string Response(
    int aStatus, const std::vector<std::pair<std::string, std::string>>& aHeads,
    const std::string& aBody) {
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n";
  for (const auto& [name, value] : aHeads) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

// ---------------------------------------------------------------- base64
inline std::string ToBase64(const std::string& aBytes) {
  static const char* kSet =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < aBytes.size(); i += 3) {
    uint32_t bits = 0;
    const size_t n = std::min<size_t>(3, aBytes.size() - i);
    for (size_t j = 0; j < 3; ++j) {
      bits = bits << 8 |
             (j < n ? static_cast<unsigned char>(aBytes[i + j]) : 0u);
    }
    for (size_t j = 0; j < 4; ++j) {
      text += j <= n ? kSet[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return text;
}

// ---------------------------------------------------------------- store
/// The platform's store: rows with versions, conditional transactions, ranges
/// and feeds. Values stay base64 as sent.
class Store {
 public:
  explicit Store(int aPort)
      : server(aPort, [this](int aSocket) { this->Serve(aSocket); }) {}
  int Port() const { return this->server.Port(); }

  /// Called before each call is performed, with method and target; true: the
  /// call is answered with 503 and not performed.
  std::function<bool(const Message&)> refuse;

  void Put(const std::string& aTable, const std::string& aKey,
           const std::string& aValue) {
    const std::lock_guard lock(this->mutex);
    this->tables[aTable][aKey] = {ToBase64(aValue), ++this->version, false};
    this->changed.notify_all();
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
            std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        text += aText[i];
      }
    }
    return text;
  }
  static std::string Parameter(const std::string& aTarget,
                               const std::string& aName) {
    const size_t query = aTarget.find('?');
    if (query == std::string::npos) {
      return "";
    }
    std::istringstream parts(aTarget.substr(query + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.rfind(aName + "=", 0) == 0) {
        return Decode(part.substr(aName.size() + 1));
      }
    }
    return "";
  }
  static int64_t NowMs() { return static_cast<int64_t>(Now() * 1000) + 1000; }

  void Serve(int aSocket) {
    Reader reader(aSocket);
    Message call;
    while (reader.Next(call)) {
      std::string answer;
      if (this->refuse && this->refuse(call)) {
        answer = Response(503, {}, "");
      } else {
        SleepMs(4);
        answer = this->Perform(call);
      }
      if (!SendAll(aSocket, answer)) {
        break;
      }
    }
    ::close(aSocket);
  }

  Json RowJson(const std::string& aTable, const std::string& aKey,
               const Row& aRow) const {
    Json row = {{"table", aTable},
                {"part", ""},
                {"key", aKey},
                {"ver", aRow.version}};
    if (aRow.removed) {
      row["tombstone"] = true;
    } else {
      row["value"] = aRow.value;
    }
    return row;
  }

  std::string Perform(const Message& aCall) {
    const std::string target = aCall.Target();
    const std::string path = target.substr(0, target.find('?'));
    const std::vector<std::pair<std::string, std::string>> heads = {
        {"Content-Type", "application/json"}};
    std::unique_lock lock(this->mutex);
    if (path == "/v1/rows-tx") {
      const Json body = Json::parse(aCall.body);
      Json current = Json::array();
      bool holds = true;
      for (const Json& item : body.at("expected")) {
        const std::string table = item.at("table");
        const std::string key = item.at("key");
        const auto found = this->tables[table].find(key);
        const bool exists =
            found != this->tables[table].end() && !found->second.removed;
        const uint64_t version = exists ? found->second.version : 0;
        holds = holds && version == item.at("ver").get<uint64_t>();
        if (exists) {
          current.push_back(this->RowJson(table, key, found->second));
        }
      }
      if (!holds) {
        return Response(412, heads,
                        Json{{"rows", current},
                             {"ver", this->version},
                             {"now-ms", NowMs()}}
                            .dump());
      }
      ++this->version;
      for (const Json& item : body.at("puts")) {
        this->tables[item.at("table")][item.at("key")] = {
            item.at("value"), this->version, false};
      }
      for (const Json& item : body.at("remove")) {
        this->tables[item.at("table")][item.at("key")] = {"", this->version,
                                                          true};
      }
      this->changed.notify_all();
      return Response(
          200, heads,
          Json{{"ver", this->version}, {"now-ms", NowMs()}}.dump());
    }
    const std::string table = Parameter(target, "table");
    if (path == "/v1/rows-get") {
      Json rows = Json::array();
      const std::string from = Parameter(target, "from");
      for (const auto& [key, row] : this->tables[table]) {
        if (!row.removed && key >= from) {
          rows.push_back(this->RowJson(table, key, row));
        }
      }
      return Response(200, heads,
                      Json{{"rows", rows},
                           {"has-more", false},
                           {"ver", this->version},
                           {"now-ms", NowMs()}}
                          .dump());
    }
    if (path == "/v1/rows-feed") {
      const uint64_t after =
          std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
      const auto until =
          Clock::now() +
          milliseconds(std::atoi(Parameter(target, "wait-ms").c_str()));
      std::map<uint64_t, Json> found;
      while (true) {
        for (const auto& [key, row] : this->tables[table]) {
          if (row.version > after) {
            found[row.version] = this->RowJson(table, key, row);
          }
        }
        if (!found.empty() ||
            this->changed.wait_until(lock, until) == std::cv_status::timeout) {
          break;
        }
      }
      Json rows = Json::array();
      for (const auto& [version, row] : found) {
        rows.push_back(row);
      }
      return Response(200, heads,
                      Json{{"rows", rows},
                           {"ver", this->version},
                           {"now-ms", NowMs()}}
                          .dump());
    }
    return Response(404, heads, "{}");
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Row>> tables;
  uint64_t version = 1;
  Server server;
};

// ---------------------------------------------------------------- upstream
/// An upstream: reports to its node, and runs a request whose path ends in
/// /WORK_MS/BYTES for WORK_MS and answers it with BYTES bytes.
class Upstream {
 public:
  struct Run {
    std::string id;
    std::string instance;
    double from = 0;
    /// 0: still at work.
    double to = 0;
    /// Whether the answer was written whole; false if the connection closed.
    bool answered = false;
    std::map<std::string, std::string> headers;
  };
  /// Replaces the usual answer. Returns false to use the usual one. The
  /// connection is kept.
  using Override =
      std::function<bool(int aSocket, const Message& aRequest, Run& aRun)>;

  Upstream(std::string aService, std::string aId, int aPort, int aReportPort,
           int aSlots = 50)
      : service(std::move(aService)),
        id(std::move(aId)),
        reportPort(aReportPort),
        slots(aSlots),
        born(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()),
        server(aPort, [this](int aSocket) { this->Serve(aSocket); }) {
    std::thread([this] {
      while (!this->stopped) {
        this->Beat();
        for (int i = 0; i < 150 && !this->stopped && !this->beatNow; ++i) {
          SleepMs(10);
        }
        this->beatNow = false;
      }
    }).detach();
  }
  Override override;
  /// How fast the upstream reads; a pause of 0 for at once.
  size_t readPart = 65536;
  int readPauseMs = 0;
  const std::string& Id() const { return this->id; }
  void Drain() {
    this->draining = true;
    this->beatNow = true;
  }
  std::optional<double> DrainAckAt() {
    const std::lock_guard lock(this->mutex);
    return this->drainAck;
  }
  /// Leaves as an upstream that never reports `draining`: deregisters and runs
  /// on. Returns whether the node acknowledged it.
  bool Leave() {
    this->stopped = true;
    this->draining = true;
    const std::string text = Json{{"born", this->born}}.dump();
    const bool done =
        this->Post("/v1/Instances.Deregister/" + this->id, text) == 200;
    Note("leave  " + this->id + (done ? " acknowledged" : " NOT acknowledged"));
    const std::lock_guard lock(this->mutex);
    if (done && !this->drainAck) {
      this->drainAck = Now();
    }
    return done;
  }
  /// The body of the next heartbeat, to be delivered later.
  std::string NextBeat() { return this->BeatBody(); }
  int DeliverBeat(const std::string& aBody) {
    const int status =
        this->Post("/v1/Instances.Heartbeat/" + this->id, aBody);
    Note("late heartbeat of " + this->id + ": " + std::to_string(status) + " " +
         aBody);
    return status;
  }
  /// Exits: closes its connections and refuses new ones.
  void Exit() {
    this->exited = true;
    Note("exits  " + this->id);
  }
  std::vector<Run> Runs() {
    const std::lock_guard lock(this->mutex);
    return this->runs;
  }
  std::vector<Run> RunsOf(const std::string& aId) {
    std::vector<Run> found;
    for (const Run& run : this->Runs()) {
      if (run.id == aId) {
        found.push_back(run);
      }
    }
    return found;
  }

 private:
  std::string BeatBody() {
    const Json body = {
        {"address", "127.0.0.1:" + std::to_string(this->server.Port())},
        {"born", this->born},
        {"info",
         {{"service", this->service},
          {"version", "v1"},
          {"zone", "z1"},
          {"slots", this->slots}}},
        {"status",
         {{"state", this->draining ? "draining" : "ready"},
          {"sequence", ++this->sequence},
          {"cold-left-ms", 0}}}};
    return body.dump();
  }
  /// Sends a call to the node's control address; its status, 0 for none.
  int Post(const std::string& aPath, const std::string& aBody) {
    const int socket = Connect(this->reportPort);
    if (socket < 0) {
      return 0;
    }
    SendAll(socket, "POST " + aPath +
                        " HTTP/1.1\r\nHost: x\r\nContent-Type: "
                        "application/json\r\nContent-Length: " +
                        std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    Reader reader(socket);
    reader.until = Clock::now() + milliseconds(1000);
    Message answer;
    const int status = reader.Next(answer) ? answer.Status() : 0;
    ::close(socket);
    return status;
  }
  void Beat() {
    const bool wasDraining = this->draining;
    const int status =
        this->Post("/v1/Instances.Heartbeat/" + this->id, this->BeatBody());
    if (status == 200 && wasDraining) {
      const std::lock_guard lock(this->mutex);
      if (!this->drainAck) {
        this->drainAck = Now();
      }
    }
  }

  void Serve(int aSocket) {
    Reader reader(aSocket);
    reader.part = this->readPart;
    reader.pauseMs = this->readPauseMs;
    Message request;
    while (!this->exited && reader.Next(request) && !this->exited) {
      const std::string target = request.Target();
      const std::string load =
          "0,0," + std::to_string(this->slots);
      if (target == "/healthz") {
        SendAll(aSocket,
                Response(this->draining ? 503 : 200,
                         {{"X-Instance-Id", this->id}, {"X-Server-Load", load}},
                         ""));
        continue;
      }
      const std::string wanted = request.Header("X-Target-Instance");
      const std::string id = request.Header("X-Request-Id");
      if (!wanted.empty() && wanted != this->id) {
        SendAll(aSocket, Response(421,
                                  {{"X-Request-Id", id},
                                   {"X-Instance-Id", this->id}},
                                  ""));
        continue;
      }
      Run run{.id = id, .instance = this->id, .from = Now()};
      run.headers = request.headers;
      size_t index = 0;
      {
        const std::lock_guard lock(this->mutex);
        index = this->runs.size();
        this->runs.push_back(run);
      }
      Note("runs   " + id + " at " + this->id + " " + request.first);
      const auto finish = [&](bool aAnswered) {
        const std::lock_guard lock(this->mutex);
        this->runs[index].to = Now();
        this->runs[index].answered = aAnswered;
      };
      if (this->override && this->override(aSocket, request, run)) {
        finish(true);
        continue;
      }
      int work = 10;
      size_t bytes = 10;
      const size_t last = target.rfind('/');
      const size_t before = target.rfind('/', last - 1);
      if (last != std::string::npos && before != std::string::npos) {
        bytes = std::strtoul(target.substr(last + 1).c_str(), nullptr, 10);
        work = std::atoi(target.substr(before + 1).c_str());
      }
      // Most upstreams drop a request when its connection closes.
      const auto until = Clock::now() + milliseconds(work);
      bool gone = false;
      while (Clock::now() < until && !gone && !this->exited) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - Clock::now());
        pollfd waiting{aSocket, POLLIN | POLLRDHUP, 0};
        ::poll(&waiting, 1, static_cast<int>(std::min<int64_t>(left.count() + 1,
                                                               20)));
        gone = (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      }
      if (this->exited) {
        Note("loses  " + id + " at " + this->id + ", which exits");
        finish(false);
        break;
      }
      if (gone) {
        Note("drops  " + id + " at " + this->id +
             ": its connection was closed while it was at work");
        finish(false);
        break;
      }
      std::string body(bytes, 'b');
      for (size_t i = 0; i < body.size(); ++i) {
        body[i] = static_cast<char>('a' + (i * 7 + id.size()) % 26);
      }
      const bool sent = SendAll(
          aSocket, Response(200,
                            {{"X-Request-Id", id},
                             {"X-Server-Signature", "sig-" + id},
                             {"X-Server-Load", load}},
                            body));
      finish(sent);
      Note("answers " + id + " at " + this->id + (sent ? "" : " (not sent)"));
      if (!sent) {
        break;
      }
    }
    ::close(aSocket);
  }

  std::string service;
  std::string id;
  int reportPort;
  int slots;
  int64_t born;
  std::atomic<bool> draining{false};
  std::atomic<bool> stopped{false};
  std::atomic<bool> exited{false};
  std::atomic<bool> beatNow{false};
  std::atomic<uint64_t> sequence{0};
  std::mutex mutex;
  std::vector<Run> runs;
  std::optional<double> drainAck;
  Server server;
};

// ---------------------------------------------------------------- node
/// Processes that run, and folders to remove, at the end of the case.
inline std::set<pid_t>& Processes() {
  static std::set<pid_t> sProcesses;
  return sProcesses;
}
inline std::set<std::string>& Folders() {
  static std::set<std::string> sFolders;
  return sFolders;
}

/// A process of the deploy file's command with the deploy file's template.
class Node {
 public:
  Node(std::string aRoot, std::string aFolder, std::string aName,
       std::string aService, int aStorePort, std::string aZone = "z1")
      : root(std::move(aRoot)),
        folder(std::move(aFolder)),
        name(std::move(aName)),
        service(std::move(aService)),
        zone(std::move(aZone)),
        storePort(aStorePort),
        outbound(FreePort()),
        inbound(FreePort()),
        ready(FreePort()),
        control(FreePort()),
        app(FreePort()) {}
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node() { this->Kill(); }

  std::map<std::string, std::string> bounds = {{"bounds.revoke-ms", "5000"},
                                               {"bounds.drain-ms", "2000"},
                                               {"bounds.grace-s", "6"},
                                               {"heartbeat-ms", "1500"},
                                               {"bounds.retry-budget-ratio", "0.2"},
                                               {"bounds.budget-slack", "49"},
                                               {"bounds.budget-window-s", "10"}};

  int Outbound() const { return this->outbound; }
  int Control() const { return this->control; }
  int App() const { return this->app; }
  pid_t Pid() const { return this->pid; }
  const std::string& Name() const { return this->name; }

  void Start() {
    const auto address = [](int aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    std::map<std::string, std::string> fields = this->bounds;
    fields["node-name"] = this->name;
    fields["zone"] = this->zone;
    fields["region"] = "r1";
    fields["service"] = this->service;
    fields["app-addr"] = address(this->app);
    fields["listen.outbound"] = address(this->outbound);
    fields["listen.inbound"] = address(this->inbound);
    fields["listen.ready"] = address(this->ready);
    fields["listen.control"] = address(this->control);
    fields["platform.address"] = address(this->storePort);
    std::ifstream file(this->root + "/deploy/node.yaml.tmpl");
    std::stringstream all;
    all << file.rdbuf();
    std::string text = all.str();
    for (const auto& [key, value] : fields) {
      const std::string place = "{{" + key + "}}";
      for (size_t at = 0; (at = text.find(place, at)) != std::string::npos;) {
        text.replace(at, place.size(), value);
      }
    }
    this->settings = this->folder + "/" + this->name + ".yaml";
    std::ofstream(this->settings) << text;
    const std::string program = this->root + "/target/fescueline";
    const std::string log = this->folder + "/" + this->name + ".log";
    this->pid = ::fork();
    if (this->pid == 0) {
      ::setenv("FESCUELINE_CONFIG", this->settings.c_str(), 1);
      const int out =
          ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execl(program.c_str(), program.c_str(), "mesh", nullptr);
      ::_exit(127);
    }
    Processes().insert(this->pid);
  }
  void Signal(int aSignal) {
    if (this->pid > 0) {
      ::kill(this->pid, aSignal);
    }
  }
  /// Waits for the end of the process; false if it runs on after aMs.
  bool WaitEnd(int aMs) {
    for (int i = 0; i < aMs / 10 && this->pid > 0; ++i) {
      int status = 0;
      if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
        Processes().erase(this->pid);
        this->pid = -1;
        this->status = status;
        return true;
      }
      SleepMs(10);
    }
    return this->pid <= 0;
  }
  /// Whether the process has ended.
  bool HasEnded() { return this->WaitEnd(20); }
  int Status() const { return this->status; }
  void Kill() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGCONT);
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      Processes().erase(this->pid);
      this->pid = -1;
    }
  }
  bool IsReady() {
    const int socket = Connect(this->ready);
    if (socket < 0) {
      return false;
    }
    SendAll(socket, "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    Reader reader(socket);
    reader.until = Clock::now() + milliseconds(1000);
    Message answer;
    const bool ready = reader.Next(answer) && answer.Status() == 200;
    ::close(socket);
    return ready;
  }

 private:
  std::string root;
  std::string folder;
  std::string name;
  std::string service;
  std::string zone;
  int storePort;
  int outbound;
  int inbound;
  int ready;
  int control;
  int app;
  std::string settings;
  pid_t pid = -1;
  int status = 0;
};

// ---------------------------------------------------------------- client
struct Answer {
  std::string id;
  double sentAt = 0;
  double endedAt = 0;
  Message message;
  int Status() const {
    return this->message.complete ? this->message.Status() : 0;
  }
  std::string Describe() const {
    char text[200];
    std::snprintf(text, sizeof text, "after %.3f s: %s", endedAt - sentAt,
                  message.complete ? message.first.c_str() : "NO WHOLE ANSWER");
    std::string line = text;
    if (!message.complete) {
      line += " (" + message.error + ", status line '" + message.first +
              "', body bytes " + std::to_string(message.body.size()) + " of " +
              message.Header("content-length") + ")";
    }
    return line;
  }
};

struct Ask {
  int port = 0;
  std::string method = "GET";
  std::string host = "h.example";
  std::string path;
  std::string key = "key-of-acme-0123456";
  int timeoutMs = 5000;
  std::string body;
  /// Bound of the receive buffer and of the reading speed; 0: none.
  int receiveBuffer = 0;
  int maxSegment = 0;
  size_t readPart = 65536;
  int pauseMs = 0;
  /// If set, the connection is a kept one: a request without a body to this
  /// path has been answered on it before.
  std::string firstPath;
};

inline std::string NewId() {
  static std::mt19937_64 sRandom(std::random_device{}());
  static std::mutex sMutex;
  const std::lock_guard lock(sMutex);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(sRandom()));
  return text;
}

inline Answer Send(const Ask& aAsk, const std::string& aId = NewId()) {
  Answer answer{.id = aId, .sentAt = Now()};
  const int socket = Connect(aAsk.port, aAsk.receiveBuffer, aAsk.maxSegment);
  if (socket < 0) {
    answer.endedAt = Now();
    answer.message.error = "not connected";
    Note("client " + aId + " not connected");
    return answer;
  }
  Reader reader(socket);
  if (!aAsk.firstPath.empty()) {
    SendAll(socket, aAsk.method + " " + aAsk.firstPath + " HTTP/1.1\r\nHost: " +
                        aAsk.host + "\r\nX-Request-Id: " + NewId() +
                        "\r\nX-Timeout-Ms: " + std::to_string(aAsk.timeoutMs) +
                        "\r\nApi-Key: " + aAsk.key +
                        "\r\nContent-Length: 0\r\n\r\n");
    reader.until = Clock::now() + milliseconds(aAsk.timeoutMs + 500);
    reader.Next(answer.message);
  }
  std::string head = aAsk.method + " " + aAsk.path +
                     " HTTP/1.1\r\nHost: " + aAsk.host +
                     "\r\nX-Request-Id: " + aId +
                     "\r\nX-Timeout-Ms: " + std::to_string(aAsk.timeoutMs) +
                     "\r\n";
  if (!aAsk.key.empty()) {
    head += "Api-Key: " + aAsk.key + "\r\n";
  }
  if (!aAsk.body.empty() || aAsk.method != "GET") {
    head += "Content-Length: " + std::to_string(aAsk.body.size()) + "\r\n";
  }
  answer.sentAt = Now();
  Note("sends  " + aId + " " + aAsk.method + " " + aAsk.path);
  SendAll(socket, head + "\r\n" + aAsk.body);
  reader.part = aAsk.readPart;
  reader.pauseMs = aAsk.pauseMs;
  reader.until = Clock::now() + milliseconds(aAsk.timeoutMs + 500);
  reader.Next(answer.message);
  answer.endedAt = Now();
  ::close(socket);
  Note("client " + aId + " " + answer.Describe());
  return answer;
}

/// A client's request on a thread of its own.
class Pending {
 public:
  explicit Pending(Ask aAsk) : id(NewId()) {
    this->thread = std::thread(
        [this, aAsk] { this->answer = rig::Send(aAsk, this->id); });
  }
  Answer Wait() {
    if (this->thread.joinable()) {
      this->thread.join();
    }
    return this->answer;
  }
  ~Pending() { this->Wait(); }
  const std::string id;

 private:
  Answer answer;
  std::thread thread;
};

// ---------------------------------------------------------------- config
struct Route {
  std::string name;
  std::string prefix;
  bool safe = true;
  std::string service;
  int timeoutMs = 5000;
  bool open = false;
  int attempts = 2;
};
inline std::string Config(uint64_t aVersion, const std::vector<Route>& aRoutes,
                          const std::set<std::string>& aServices,
                          const Json& aTenants) {
  Json resources = Json::array();
  for (const Route& route : aRoutes) {
    resources.push_back({{"resource-type", "routes"},
                         {"metadata", {{"name", route.name}}},
                         {"spec",
                          {{"host", "h.example"},
                           {"prefix", route.prefix},
                           {"route-type", route.safe ? "safe" : "unsafe"},
                           {"timeout-ms", route.timeoutMs},
                           {"target-latency-ms", 1200},
                           {"priority", 0},
                           {"service", route.service},
                           {"max-attempts", route.attempts},
                           {"public", route.open}}}});
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
  for (const Json& tenant : aTenants) {
    resources.push_back(tenant);
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
inline Json Tenant(const std::string& aName,
                   const std::vector<std::string>& aKeys, double aRate = 1000) {
  return {{"resource-type", "tenants"},
          {"metadata", {{"name", aName}}},
          {"spec",
           {{"api-keys", aKeys},
            {"priority", 1},
            {"rate-per-s", aRate},
            {"burst", aRate}}}};
}

// ---------------------------------------------------------------- fleet
/// A small deployment: one machine an entry of aServices.
class Fleet {
 public:
  Fleet(const std::string& aRoot, const std::vector<std::string>& aServices,
        const std::vector<Route>& aRoutes, int aSlots = 50)
      : store(FreePort()) {
    char folder[] = "/tmp/review-XXXXXX";
    this->folder = ::mkdtemp(folder);
    Folders().insert(this->folder);
    std::set<std::string> services(aServices.begin(), aServices.end());
    this->store.Put("op", "config",
                    Config(1, aRoutes, services,
                           Json::array({Tenant("acme",
                                               {"key-of-acme-0123456"})})));
    for (size_t i = 0; i < aServices.size(); ++i) {
      this->nodes.push_back(std::make_unique<Node>(
          aRoot, this->folder, "sidecar-z1-" + std::to_string(i + 1),
          aServices[i], this->store.Port()));
      this->upstreams.push_back(std::make_unique<Upstream>(
          aServices[i], "i-" + std::to_string(i + 1) + NewId().substr(0, 6),
          this->nodes.back()->App(), this->nodes.back()->Control(), aSlots));
    }
    for (const auto& node : this->nodes) {
      node->Start();
    }
  }
  /// Waits until all nodes are ready, then as long as the platform does before
  /// traffic starts.
  bool WaitReady(int aLeadMs) {
    const auto until = Clock::now() + milliseconds(15000);
    const auto lead = Clock::now() + milliseconds(aLeadMs);
    for (const auto& node : this->nodes) {
      while (!node->IsReady()) {
        if (Clock::now() > until || node->HasEnded()) {
          Note("node " + node->Name() + " is not ready");
          return false;
        }
        SleepMs(50);
      }
    }
    std::this_thread::sleep_until(lead);
    return true;
  }
  std::vector<Upstream::Run> RunsOf(const std::string& aId) {
    std::vector<Upstream::Run> all;
    for (const auto& upstream : this->upstreams) {
      for (auto& run : upstream->RunsOf(aId)) {
        all.push_back(run);
      }
    }
    return all;
  }

  Store store;
  std::string folder;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Upstream>> upstreams;
};

inline bool Trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}
/// Ends the case: 1 the rule was broken, 0 it held, 2 the case could not run.
[[noreturn]] inline void End(int aCode, const std::string& aWhy) {
  Record::Get().Close(std::string(aCode == 0   ? "HELD: "
                   : aCode == 1 ? "BROKEN: "
                                : "COULD NOT RUN: ") +
       aWhy);
  for (const pid_t pid : Processes()) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  for (const std::string& folder : Folders()) {
    if (std::getenv("KEEP") == nullptr) {
      const std::string remove = "rm -rf " + folder;
      static_cast<void>(!std::system(remove.c_str()));
    } else {
      std::fprintf(stderr, "kept %s\n", folder.c_str());
    }
  }
  std::fflush(nullptr);
  ::_exit(aCode);
}

}  // namespace rig
