#pragma once

#include <algorithm>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/MeshConfig.h"

namespace fescueline {

/// The configuration in force and the moment up to which it is known to be the
/// newest. Versions never go back. One thread.
class ConfigHolder {
 public:
  /// Decodes the stored form; null with a log line if it is malformed.
  using Decoder = std::function<MeshConfigPtr(const std::string&)>;

  explicit ConfigHolder(Decoder aDecoder) : decoder(std::move(aDecoder)) {}

  /// Puts a stored configuration in force if it is newer; whether it was.
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

  /// The configuration in force was the newest one at that moment.
  void Confirm(BootTime aMoment) {
    this->confirmedAt = std::max(this->confirmedAt, aMoment);
  }
  /// A peer had the same version confirmed aAge before it answered a question
  /// that left at aAskedAt.
  void ConfirmByPeer(uint64_t aVersion, BootTime aAskedAt, Duration aAge) {
    if (this->current && aVersion == this->current->Version() &&
        aAge >= Duration::zero()) {
      this->Confirm(aAskedAt - aAge);
    }
  }

  const MeshConfigPtr& Current() const { return this->current; }
  const std::string& Stored() const { return this->stored; }
  uint64_t Version() const {
    return this->current ? this->current->Version() : 0;
  }
  /// Time since the configuration was known to be the newest.
  Duration Age(BootTime aNow) const {
    return this->current ? aNow - this->confirmedAt : Duration::max();
  }

 private:
  Decoder decoder;
  MeshConfigPtr current;
  /// The configuration as stored, for nodes that cannot read the store.
  std::string stored;
  BootTime confirmedAt{};
};

}  // namespace fescueline
