#pragma once

#include <asio.hpp>
#include <istream>
#include <string>

namespace fescueline::test {

/// A caller on one connection that it never reopens, unlike HttpClient, which
/// may use a new connection for each request. Not thread-safe.
class KeepAliveCaller {
 public:
  explicit KeepAliveCaller(uint16_t aPort) : socket(this->io) {
    this->socket.connect({asio::ip::address_v4::loopback(), aPort});
  }

  /// Sends a GET and returns the status; 0 if the connection has ended.
  int Get(const std::string& aPath, const std::string& aKey,
          const std::string& aWorkId) {
    const std::string request = "GET " + aPath +
                                " HTTP/1.1\r\nHost: node\r\n"
                                "Authorization: Bearer " +
                                aKey + "\r\nx-work-id: " + aWorkId + "\r\n\r\n";
    asio::error_code failed;
    asio::write(this->socket, asio::buffer(request), failed);
    asio::read_until(this->socket, this->buffer, "\r\n\r\n", failed);
    if (failed) {
      return 0;
    }
    std::istream input(&this->buffer);
    std::string version;
    int status = 0;
    size_t length = 0;
    input >> version >> status;
    for (std::string line; std::getline(input, line) && line != "\r";) {
      const std::string name = "content-length:";
      std::string lower = line.substr(0, name.size());
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      if (lower == name) {
        length = std::stoul(line.substr(name.size()));
      }
    }
    if (this->buffer.size() < length) {
      asio::read(this->socket, this->buffer,
                 asio::transfer_exactly(length - this->buffer.size()), failed);
    }
    this->buffer.consume(length);
    return failed ? 0 : status;
  }

 private:
  asio::io_context io;
  asio::ip::tcp::socket socket;
  asio::streambuf buffer;
};

}  // namespace fescueline::test
