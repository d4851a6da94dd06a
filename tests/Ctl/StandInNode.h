#pragma once

#include <asio.hpp>
#include <atomic>
#include <sstream>
#include <string>
#include <thread>

#include "Config/ConfigApi.h"
#include "Platform/MemoryTableStore.h"

namespace fescueline {

/// The admin listener of a node over a table in memory: HTTP/1.1 on loopback,
/// one request per connection. Can drop answers after the request took effect.
class StandInNode {
 public:
  explicit StandInNode(const std::string& aCredential)
      : api(this->replica, this->table,
            ConfigApiOptions{.credential = Secret(aCredential),
                             .awaitAcceptance =
                                 [this](uint64_t) {
                                   this->replica.Apply(this->table.ChangesSince(
                                       this->replica.Version(), 1'000));
                                   return true;
                                 },
                             .nodeStatus = nullptr}),
        acceptor(this->context, {asio::ip::address_v4::loopback(), 0}),
        thread([this] { this->Serve(); }) {}
  StandInNode(const StandInNode&) = delete;
  StandInNode& operator=(const StandInNode&) = delete;
  ~StandInNode() {
    this->stopped = true;
    // A connection ends the blocking accept.
    asio::io_context own;
    asio::ip::tcp::socket socket(own);
    asio::error_code ignored;
    socket.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }

  std::string Url() const {
    return "http://127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  /// Closes the next aCount connections that change something without an
  /// answer, after the change.
  void DropAnswers(int aCount) { this->drops = aCount; }
  /// Answers the next change with this HTTP status and an empty body.
  void AnswerWith(int aStatus) { this->forced = aStatus; }

  /// Use only while no request is running.
  MemoryTableStore& Table() { return this->table; }

 private:
  void Serve() {
    while (true) {
      asio::ip::tcp::socket socket(this->context);
      asio::error_code error;
      this->acceptor.accept(socket, error);
      if (this->stopped || error) {
        return;
      }
      try {
        this->Answer(socket);
      } catch (const asio::system_error&) {
        // The client went away; the next connection is independent.
        continue;
      }
    }
  }

  void Answer(asio::ip::tcp::socket& aSocket) {
    std::string data;
    const size_t headEnd =
        asio::read_until(aSocket, asio::dynamic_buffer(data), "\r\n\r\n");
    ApiRequest request;
    std::istringstream head(data.substr(0, headEnd));
    std::string line;
    head >> request.method >> request.path;
    std::getline(head, line);
    size_t length = 0;
    while (std::getline(head, line) && line != "\r") {
      const size_t colon = line.find(": ");
      if (colon == std::string::npos) {
        continue;
      }
      request.headers.push_back(
          {line.substr(0, colon),
           line.substr(colon + 2, line.size() - colon - 3)});
    }
    if (const auto header = request.Header("Content-Length")) {
      length = std::stoul(std::string(*header));
    }
    request.body = data.substr(headEnd);
    if (request.body.size() < length) {
      asio::read(aSocket, asio::dynamic_buffer(request.body),
                 asio::transfer_exactly(length - request.body.size()));
    }
    const bool changes = request.method != "GET";
    if (changes && this->forced != 0) {
      Write(aSocket, this->forced.exchange(0), "");
      return;
    }
    const ApiResponse response = this->api.Handle(request);
    if (changes && this->drops > 0) {
      --this->drops;
      return;
    }
    Write(aSocket, static_cast<int>(response.status), response.body);
  }

  static void Write(asio::ip::tcp::socket& aSocket, int aStatus,
                    const std::string& aBody) {
    const std::string text = "HTTP/1.1 " + std::to_string(aStatus) +
                             " X\r\nConnection: close\r\nContent-Length: " +
                             std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    asio::write(aSocket, asio::buffer(text));
  }

  /// The table service.
  MemoryTableStore table;
  /// The node's configuration.
  ConfigReplica replica;
  /// The server side under test.
  ConfigApi<MemoryTableStore> api;
  /// For the blocking sockets.
  asio::io_context context;
  /// Listens on a port of the system's choice.
  asio::ip::tcp::acceptor acceptor;
  /// Whether Serve ends.
  std::atomic<bool> stopped{false};
  /// Answers still to drop.
  std::atomic<int> drops{0};
  /// Status of the next change; 0 for the API's own.
  std::atomic<int> forced{0};
  /// Runs Serve.
  std::thread thread;
};

}  // namespace fescueline
