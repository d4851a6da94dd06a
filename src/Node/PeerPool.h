#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "Transport/PeerClient.h"

namespace fescueline {

/// Connections from this node to other nodes. Thread-safe.
class PeerPool {
 public:
  using ClientPtr = std::shared_ptr<PeerClient>;

  /// Events of the connections.
  struct Handlers {
    /// State of a node's target, with the node's incarnation.
    std::function<void(const std::string& aNode,
                       const std::string& aIncarnation,
                       const StateWire& aState)>
        onState;
    /// The connection to a node ended.
    std::function<void(const std::string& aNode, const std::string& aReason)>
        onClosed;
  };

  PeerPool(asio::io_context& aIo, PeerIdentity aSelf, Handlers aHandlers);

  /// Returns the connection to a node; opens one if there is none.
  ClientPtr Get(const PeerAddress& aAddress);
  /// Closes the connection to a node.
  void Drop(const std::string& aNode);
  /// Closes all connections; Get must not be called afterwards.
  void CloseAll();
  /// Number of connections.
  size_t Size();

 private:
  asio::io_context& io;
  PeerIdentity self;
  Handlers handlers;
  /// Guards `clients`; no other lock is taken while it is held.
  std::mutex mutex;
  /// Open connections by node id.
  std::unordered_map<std::string, ClientPtr> clients;
};

}  // namespace fescueline
