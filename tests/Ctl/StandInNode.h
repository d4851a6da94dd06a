#pragma once

#include <asio.hpp>
#include <atomic>
#include <sstream>
#include <string>
#include <thread>

#include "Config/ConfigApi.h"
#include "Platform/MemoryTableStore.h"

namespace fescueline {

/// Admin listener of a node on a memory table: HTTP/1.1 on loopback, one
/// request per connection. Can drop responses after the request took effect.
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
    // A connection unblocks the accept call.
    asio::io_context localContext;
    asio::ip::tcp::socket socket(localContext);
    asio::error_code ignored;
    socket.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }

  std::string Url() const {
    return "http://127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  /// Applies the next aCount changes and closes their connections without a
  /// response.
  void DropResponses(int aCount) { this->responsesToDrop = aCount; }
  /// Responds to the next change with this status and an empty body, without
  /// applying it.
  void RespondWith(int aStatus) { this->forcedStatus = aStatus; }

  /// Not synchronised: use only while no request is running.
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
        this->Respond(socket);
      } catch (const asio::system_error&) {
        // The client disconnected; the next connection is independent.
        continue;
      }
    }
  }

  void Respond(asio::ip::tcp::socket& aSocket) {
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
    if (changes && this->forcedStatus != 0) {
      Write(aSocket, this->forcedStatus.exchange(0), "");
      return;
    }
    const ApiResponse response = this->api.Handle(request);
    if (changes && this->responsesToDrop > 0) {
      --this->responsesToDrop;
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

  MemoryTableStore table;
  ConfigReplica replica;
  ConfigApi<MemoryTableStore> api;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> stopped{false};
  /// Number of further responses to drop.
  std::atomic<int> responsesToDrop{0};
  /// Status of the response to the next change; 0 for the API's own.
  std::atomic<int> forcedStatus{0};
  std::thread thread;
};

}  // namespace fescueline
