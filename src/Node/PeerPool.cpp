#include "Node/PeerPool.h"

namespace fescueline {

PeerPool::PeerPool(asio::io_context& aIo, PeerIdentity aSelf,
                   Handlers aHandlers)
    : io(aIo), self(std::move(aSelf)), handlers(std::move(aHandlers)) {}

PeerPool::ClientPtr PeerPool::Get(const PeerAddress& aAddress) {
  const std::lock_guard lock(this->mutex);
  ClientPtr& client = this->clients[aAddress.nodeId];
  if (client && !client->IsClosed()) {
    return client;
  }
  const std::string node = aAddress.nodeId;
  client = std::make_shared<PeerClient>(PeerClient::Settings{
      .io = this->io,
      .self = this->self,
      .address = aAddress,
      .onState =
          [this, node](const StateWire& aState,
                       const std::string& aIncarnation) {
            this->handlers.onState(node, aIncarnation, aState);
          },
      .onClosed =
          [this, node](const std::string& aReason) {
            this->handlers.onClosed(node, aReason);
          }});
  client->Start();
  return client;
}

void PeerPool::Drop(const std::string& aNode) {
  ClientPtr client;
  {
    const std::lock_guard lock(this->mutex);
    auto entry = this->clients.extract(aNode);
    if (!entry.empty()) {
      client = std::move(entry.mapped());
    }
  }
  if (client) {
    client->Close("node left");
  }
}

void PeerPool::CloseAll() {
  std::unordered_map<std::string, ClientPtr> closing;
  {
    const std::lock_guard lock(this->mutex);
    closing.swap(this->clients);
  }
  for (const auto& [node, client] : closing) {
    client->Close("node stops");
  }
}

size_t PeerPool::Size() {
  const std::lock_guard lock(this->mutex);
  return this->clients.size();
}

}  // namespace fescueline
