#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/MeshConfig.h"

namespace fescueline {

/// The current configuration and the time up to which it is known to be the
/// newest. Never reverts to an older version. Not thread-safe.
class ConfigHolder {
 public:
  /// Decodes the stored form. Logs an error and returns null if it is
  /// malformed.
  using Decoder = std::function<MeshConfigPtr(const std::string&)>;

  explicit ConfigHolder(Decoder aDecoder) : decoder(std::move(aDecoder)) {}

  /// Applies a stored configuration if it is newer; returns whether it was.
  bool Apply(const std::string& aStored) {
    MeshConfigPtr decoded = this->decoder(aStored);
    if (!decoded ||
        (this->current && decoded->Version() <= this->current->Version())) {
      return false;
    }
    this->current = std::move(decoded);
    this->stored = aStored;
    return true;
  }

  /// Records that the current configuration was the newest one at aMoment.
  void Confirm(BootTime aMoment) {
    this->confirmedAt = std::max(this->confirmedAt, aMoment);
  }
  /// Records a confirmation by a peer: when the peer answered a ping that was
  /// sent at aPingSentAt, it had had aVersion confirmed for aAge.
  void ConfirmByPeer(uint64_t aVersion, BootTime aPingSentAt, Duration aAge) {
    if (this->current && aVersion == this->current->Version() &&
        aAge >= Duration::zero()) {
      this->Confirm(aPingSentAt - aAge);
    }
  }

  const MeshConfigPtr& Current() const { return this->current; }
  const std::string& Stored() const { return this->stored; }
  uint64_t Version() const {
    return this->current ? this->current->Version() : 0;
  }
  /// Time since the configuration was last known to be the newest.
  Duration Age(BootTime aNow) const {
    return this->current ? aNow - this->confirmedAt : Duration::max();
  }

 private:
  Decoder decoder;
  MeshConfigPtr current;
  /// Stored form of the configuration, sent to peers that cannot read the
  /// store.
  std::string stored;
  BootTime confirmedAt{};
};

}  // namespace fescueline
