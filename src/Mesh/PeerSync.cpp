#include "Mesh/PeerSync.h"

namespace fescueline {

namespace {
/// Minimum time between two frames to the same node.
constexpr Duration kMinInterval = std::chrono::seconds(1);
}  // namespace

void PeerSync::OnPong(const std::string& aNode, const StateWire& aState,
                      TimePoint aPingSentAt) {
  ConfigHolder& config = this->settings.config;
  const TimePoint now = SteadyClock().Now();
  if (aState.configVersion == config.Version()) {
    if (aState.configAge >= 0) {
      // The boot clock advances at least as much as the steady clock.
      config.ConfirmByPeer(aState.configVersion,
                           BootClock::now() - (now - aPingSentAt),
                           std::chrono::microseconds(aState.configAge));
    }
    return;
  }
  const auto client = this->settings.fleet.ClientOf(aNode);
  TimePoint& sent = this->sentAt[aNode];
  if (!client || now - sent < kMinInterval) {
    return;
  }
  sent = now;
  client->SendMessage(this->Frame(aState.configVersion > config.Version()));
}

void PeerSync::Apply(const PeerSyncFrame& aFrame, const std::string& aNode) {
  if (!aFrame.config.empty()) {
    this->settings.onConfig(aFrame.config, aNode);
  }
  if (!aFrame.rows.empty()) {
    this->settings.onRows(aFrame.rows);
  }
}

PeerSyncFrame PeerSync::Frame(bool aWantsReply) const {
  PeerSyncFrame frame{.configVersion = this->settings.config.Version(),
                      .config = {},
                      .rows = {},
                      .wantsReply = aWantsReply};
  if (!aWantsReply) {
    frame.config = this->settings.config.Stored();
    frame.rows = this->settings.fleet.Rows();
  }
  return frame;
}

}  // namespace fescueline
