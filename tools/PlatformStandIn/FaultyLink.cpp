#include "FaultyLink.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace fescueline {

namespace {
constexpr std::string_view kHeadEnd = "\r\n\r\n";

asio::ip::tcp::endpoint Local(uint16_t aPort) {
  return {asio::ip::make_address("127.0.0.1"), aPort};
}

std::string Lower(std::string_view aText) {
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return lower;
}

/// Offset and size of a header field's line, including its line end.
std::pair<size_t, size_t> FindField(const std::string& aResponse,
                                    std::string_view aName) {
  const std::string head =
      Lower(aResponse.substr(0, aResponse.find(kHeadEnd) + 2));
  const size_t at = head.find("\r\n" + Lower(aName) + ":");
  if (at == std::string::npos) {
    return {0, 0};
  }
  const size_t begin = at + 2;
  return {begin, head.find("\r\n", begin) + 2 - begin};
}

/// Size of the first response in the text; 0 if it is not complete yet.
size_t SizeOfFirst(const std::string& aText) {
  const size_t end = aText.find(kHeadEnd);
  if (end == std::string::npos) {
    return 0;
  }
  size_t length = 0;
  const auto [at, size] = FindField(aText, "Content-Length");
  if (size > 0) {
    const size_t digits = aText.find_first_of("0123456789", at);
    std::from_chars(aText.data() + digits, aText.data() + at + size, length);
  }
  const size_t total = end + kHeadEnd.size() + length;
  return total <= aText.size() ? total : 0;
}
}  // namespace

/// A connection from the node and its connection to the target.
class FaultyLink::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultyLink& aLink, asio::ip::tcp::socket aNode)
      : link(aLink), node(std::move(aNode)), target(aLink.settings.io) {}

  void Start() {
    asio::error_code error;
    this->target.connect(Local(this->link.settings.targetPort), error);
    if (error) {
      this->Close();
      return;
    }
    const asio::ip::tcp::no_delay noDelay(true);
    this->node.set_option(noDelay, error);
    this->target.set_option(noDelay, error);
    this->ReadNode();
    this->ReadTarget();
  }

 private:
  void ReadNode() {
    this->node.async_read_some(
        asio::buffer(this->fromNode),
        [self = this->shared_from_this()](const asio::error_code& aError,
                                          size_t aSize) {
          if (aError) {
            self->Close();
            return;
          }
          Write(self->node, std::exchange(self->late, {}));
          Write(self->target, {self->fromNode.data(), aSize});
          self->ReadNode();
        });
  }

  void ReadTarget() {
    this->target.async_read_some(
        asio::buffer(this->fromTarget),
        [self = this->shared_from_this()](const asio::error_code& aError,
                                          size_t aSize) {
          self->inbox.append(self->fromTarget.data(), aSize);
          self->PassResponses();
          if (aError) {
            Write(self->node, self->inbox);
            self->Close();
            return;
          }
          self->ReadTarget();
        });
  }

  void PassResponses() {
    while (const size_t size = SizeOfFirst(this->inbox)) {
      std::string response = this->link.ApplyFault(this->inbox.substr(0, size));
      this->inbox.erase(0, size);
      std::string copy = this->link.CopyOf(response);
      if (this->link.fault.when == When::AtOnce) {
        response += copy;
      } else if (!copy.empty()) {
        this->late = std::move(copy);
      }
      Write(this->node, response);
    }
  }

  static void Write(asio::ip::tcp::socket& aSocket, std::string_view aBytes) {
    // The pending read detects a closed peer.
    asio::error_code ignored;
    asio::write(aSocket, asio::buffer(aBytes), ignored);
  }

  void Close() {
    asio::error_code ignored;
    this->node.close(ignored);
    this->target.close(ignored);
  }

  FaultyLink& link;
  asio::ip::tcp::socket node;
  asio::ip::tcp::socket target;
  std::array<char, size_t{16} * 1024> fromNode{};
  std::array<char, size_t{16} * 1024> fromTarget{};
  /// Bytes from the target that do not form a complete response yet.
  std::string inbox;
  /// Duplicate to write when the next request arrives.
  std::string late;
};

FaultyLink::FaultyLink(Settings aSettings)
    : settings(aSettings),
      acceptor(this->settings.io, Local(this->settings.port)),
      random(this->settings.seed) {
  this->Accept();
}

void FaultyLink::Accept() {
  this->acceptor.async_accept(
      [this](const asio::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (aError) {
          return;
        }
        std::make_shared<Connection>(*this, std::move(aSocket))->Start();
        this->Accept();
      });
}

std::string FaultyLink::ApplyFault(std::string aResponse) {
  if (this->fault.unsignedShare > 0 &&
      this->random.NextDouble() < this->fault.unsignedShare) {
    const auto [at, size] = FindField(aResponse, "X-Server-Signature");
    aResponse.erase(at, size);
  }
  return aResponse;
}

std::string FaultyLink::CopyOf(const std::string& aResponse) {
  if (this->random.NextDouble() >= this->fault.share) {
    return {};
  }
  ++this->copies;
  std::string copy = aResponse;
  if (this->fault.refusal) {
    const auto [at, size] = FindField(aResponse, "X-Request-Id");
    copy = "HTTP/1.1 503 Service Unavailable\r\n" + aResponse.substr(at, size) +
           "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }
  if (this->fault.withoutId) {
    const auto [at, size] = FindField(copy, "X-Request-Id");
    copy.erase(at, size);
  }
  return copy;
}

}  // namespace fescueline
