#include "Transport/ControlSocket.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <atomic>
#include <list>
#include <msgpack.hpp>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "Core/BoundedMsgPack.h"
#include "Core/Digest.h"
#include "Core/Error.h"
#include "Core/ScopeGuard.h"

namespace fescueline {

namespace {

constexpr size_t kMaxMessageBytes = size_t{256} * 1024;
constexpr int kQueueLength = 64;
/// Timeout of one receive. The thread checks for a stop in between.
constexpr nng_duration kReceiveMilliseconds = 100;
constexpr size_t kDigestBytes = 32;

void Check(int aResult, const char* aStep, const std::string& aPeer) {
  if (aResult != 0) {
    throw Error(aStep, aPeer, nng_strerror(aResult));
  }
}

/// RAII owner of an nng socket.
class Socket {
 public:
  Socket() = default;
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() {
    if (this->id.id != 0) {
      nng_close(this->id);
    }
  }
  nng_socket id = NNG_SOCKET_INITIALIZER;
};

struct EnvelopeWire {
  std::string sender;
  std::string incarnation;
  std::string replyUrl;
  uint8_t kind = 0;
  std::string payload;
  MSGPACK_DEFINE_ARRAY(sender, incarnation, replyUrl, kind, payload)
};

}  // namespace

struct ControlSocket::Impl {
  struct Peer {
    std::string url;
    Socket socket;
  };

  explicit Impl(Settings aSettings) : settings(std::move(aSettings)) {
    Check(nng_pull0_open(&this->pull.id), "control.open", "");
    Check(
        nng_socket_set_size(this->pull.id, NNG_OPT_RECVMAXSZ, kMaxMessageBytes),
        "control.open", "");
    Check(nng_socket_set_ms(this->pull.id, NNG_OPT_RECVTIMEO,
                            kReceiveMilliseconds),
          "control.open", "");
    nng_listener listener = NNG_LISTENER_INITIALIZER;
    Check(nng_listener_create(&listener, this->pull.id,
                              this->settings.listenUrl.c_str()),
          "control.listen", this->settings.listenUrl);
    Check(nng_listener_start(listener, 0), "control.listen",
          this->settings.listenUrl);
    char* bound = nullptr;
    Check(nng_listener_get_string(listener, NNG_OPT_URL, &bound),
          "control.listen", this->settings.listenUrl);
    this->url = this->settings.advertiseUrl.empty()
                    ? bound
                    : this->settings.advertiseUrl;
    nng_strfree(bound);
    this->thread = std::thread([this] { this->Receive(); });
  }

  ~Impl() {
    // Closing the socket during a receive can block forever, so the thread is
    // joined first.
    this->stopping = true;
    this->thread.join();
  }

  void Receive() {
    while (!this->stopping) {
      void* data = nullptr;
      size_t size = 0;
      const int result = nng_recv(this->pull.id, &data, &size, NNG_FLAG_ALLOC);
      if (result != 0) {
        continue;  // timeout, or message over the size limit
      }
      const ScopeGuard release([data, size] { nng_free(data, size); });
      this->bytesReceived += size;
      this->OnBytes(std::string_view(static_cast<char*>(data), size));
    }
  }

  void OnBytes(std::string_view aBytes) {
    if (aBytes.size() <= kDigestBytes) {
      return;
    }
    const std::string_view signature = aBytes.substr(0, kDigestBytes);
    const std::string_view body = aBytes.substr(kDigestBytes);
    if (!EqualConstantTime(
            AsBytes(HmacSha256(this->settings.self.fleetSecret, body)),
            signature)) {
      return;
    }
    try {
      EnvelopeWire wire;
      UnpackBounded(body, {.maxBytes = body.size(), .maxElements = 32})
          .get()
          .convert(wire);
      const auto incarnation = Id128::Parse(wire.incarnation);
      if (!incarnation) {
        return;
      }
      this->settings.onMessage({.sender = std::move(wire.sender),
                                .incarnation = *incarnation,
                                .replyUrl = std::move(wire.replyUrl),
                                .kind = wire.kind,
                                .payload = std::move(wire.payload)});
    } catch (const std::exception&) {
      // Signed by a node of the fleet but cannot be decoded, for example
      // because it runs another version: dropped like a lost message.
      return;
    }
  }

  std::string Encode(uint8_t aKind, const std::string& aPayload) const {
    msgpack::sbuffer buffer;
    msgpack::pack(
        buffer,
        EnvelopeWire{.sender = this->settings.self.nodeId,
                     .incarnation = this->settings.self.incarnation.ToString(),
                     .replyUrl = this->url,
                     .kind = aKind,
                     .payload = aPayload});
    const std::string_view body(buffer.data(), buffer.size());
    std::string bytes(
        AsBytes(HmacSha256(this->settings.self.fleetSecret, body)));
    bytes.append(body);
    return bytes;
  }

  /// Returns the socket to the URL, opening it if needed; null on failure.
  /// Callers hold `mutex`.
  Peer* Connect(const std::string& aUrl) {
    const auto found = this->byUrl.find(aUrl);
    if (found != this->byUrl.end()) {
      this->peers.splice(this->peers.begin(), this->peers, found->second);
      return &this->peers.front();
    }
    if (this->peers.size() >= this->settings.maxPeers) {
      this->byUrl.erase(this->peers.back().url);
      this->peers.pop_back();
    }
    Peer& peer = this->peers.emplace_front();
    peer.url = aUrl;
    if (nng_push0_open(&peer.socket.id) != 0 ||
        nng_socket_set_int(peer.socket.id, NNG_OPT_SENDBUF, kQueueLength) !=
            0 ||
        nng_dial(peer.socket.id, aUrl.c_str(), nullptr, NNG_FLAG_NONBLOCK) !=
            0) {
      this->peers.pop_front();
      return nullptr;
    }
    this->byUrl[aUrl] = this->peers.begin();
    return &peer;
  }

  Settings settings;
  Socket pull;
  std::string url;
  std::atomic<bool> stopping{false};
  std::thread thread;
  /// Guards `peers` and `byUrl`.
  std::mutex mutex;
  /// Peers, most recently used first.
  std::list<Peer> peers;
  std::unordered_map<std::string, std::list<Peer>::iterator> byUrl;
  std::atomic<uint64_t> bytesSent{0};
  std::atomic<uint64_t> bytesReceived{0};
};

ControlSocket::ControlSocket(Settings aSettings)
    : impl(std::make_unique<Impl>(std::move(aSettings))) {}

ControlSocket::~ControlSocket() = default;

const std::string& ControlSocket::Url() const { return this->impl->url; }

bool ControlSocket::Send(const std::string& aUrl, uint8_t aKind,
                         const std::string& aPayload) {
  std::string bytes = this->impl->Encode(aKind, aPayload);
  const std::lock_guard lock(this->impl->mutex);
  Impl::Peer* peer = this->impl->Connect(aUrl);
  if (peer == nullptr || nng_send(peer->socket.id, bytes.data(), bytes.size(),
                                  NNG_FLAG_NONBLOCK) != 0) {
    return false;
  }
  this->impl->bytesSent += bytes.size();
  return true;
}

uint64_t ControlSocket::BytesSent() const { return this->impl->bytesSent; }
uint64_t ControlSocket::BytesReceived() const {
  return this->impl->bytesReceived;
}

}  // namespace fescueline
