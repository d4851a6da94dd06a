#pragma once

#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/RandomSource.h"
#include "Freshness/AcceptanceWait.h"
#include "Freshness/VouchTally.h"
#include "Node/ConfigSync.h"
#include "Node/ControlMessages.h"
#include "Transport/ControlSocket.h"

namespace fescueline {

/// Distributes the configuration and its age between nodes, requests vouches,
/// and waits for changes to be accepted. Thread-safe.
class Gossip {
 public:
  /// References must outlive the object.
  struct Settings {
    PeerIdentity self;
    ConfigReplica& config;
    ConfigFreshness& freshness;
    ConfigSync& sync;
    /// Sends to a control URL.
    std::function<bool(const std::string& aUrl, ControlKind aKind,
                       const std::string& aPayload)>
        send;
    /// Freshness limit of the fleet.
    Duration freshnessLimit = std::chrono::seconds(4);
    /// Control URLs to pull from while no member is known.
    std::vector<std::string> seeds;
  };

  explicit Gossip(Settings aSettings);

  /// Pulls from a random peer, and requests vouches if the configuration is
  /// ageing; call every 250 ms.
  void Tick(TimePoint aNow);
  /// Asks all vouchers about changes that are not accepted yet; call every 100
  /// ms.
  void TickAcceptance(TimePoint aNow);
  /// Handles a control message of one of the kinds Pull to VouchReply.
  void Receive(const ControlMessage& aMessage, TimePoint aNow);
  /// Calls aAccepted once the committed version is in force on all nodes.
  void AwaitAcceptance(uint64_t aVersion, std::function<void()> aAccepted);
  /// Pulls from a node to check its liveness.
  void Watch(const std::string& aUrl, TimePoint aNow) {
    this->PullFrom(aUrl, aNow);
  }
  /// Time of the last message of a node; nothing if there was none.
  std::optional<TimePoint> LastContact(const std::string& aNode);

 private:
  /// A change that is not accepted yet.
  struct PendingChange {
    uint64_t version = 0;
    std::function<void()> onAccepted;
    /// Created once this node has applied the version and thus knows the
    /// voucher sets that must acknowledge it.
    std::optional<AcceptanceWait> wait;
  };
  /// A request to all vouchers of a set that awaits replies.
  struct OpenRequest {
    VouchTally tally;
    TimePoint sentAt;
  };

  void OnPull(const ControlMessage& aMessage, const PullWire& aPull,
              TimePoint aNow);
  void OnPullReply(const ControlMessage& aMessage, PullReplyWire aReply,
                   TimePoint aNow);
  void OnVouchRequest(const ControlMessage& aMessage,
                      const VouchRequestWire& aRequest);
  void OnVouchReply(const ControlMessage& aMessage,
                    const VouchReplyWire& aReply, TimePoint aNow);
  /// Sends a request to all vouchers of a set and counts this node's own vouch.
  void RequestVouches(const VoucherSet& aSet, TimePoint aNow);
  void PullFrom(const std::string& aUrl, TimePoint aNow);
  /// Creates the acceptance wait if this node has applied the version.
  void CreateWait(PendingChange& aChange,
                  const ConfigSnapshot& aSnapshot) const;
  /// Control URL of a random peer, or empty.
  std::string RandomPeer();
  void Renew(const VouchTally& aTally);

  Settings settings;
  /// Guards everything below; no OrderedMutex is taken while it is held.
  std::mutex mutex;
  RandomSource random;
  /// Starts at a random number. A reply to an earlier process of this node may
  /// be queued at its sender until the listener is back; it must not match a
  /// request of this process.
  uint64_t nextRequestId = this->random.Next();
  /// Send times of open pulls by request id.
  std::map<uint64_t, TimePoint> pulls;
  /// Open vouch requests by request id.
  std::map<uint64_t, OpenRequest> openRequests;
  std::list<PendingChange> pendingChanges;
  std::unordered_map<std::string, TimePoint> lastContact;
  /// Control URLs to pull from in the current period, and when it ends.
  std::vector<std::string> pullPeers;
  TimePoint pullPeersUntil{};
};

/// Voucher set of a configuration.
VoucherSet VouchersOf(const ConfigSnapshot& aSnapshot);
/// The voucher set that preceded it; empty if there was none.
VoucherSet PreviousVouchersOf(const ConfigSnapshot& aSnapshot);
/// Control URL of a member; empty if it is unknown.
std::string ControlUrlOf(const ConfigSnapshot& aSnapshot,
                         const std::string& aNode);

}  // namespace fescueline
