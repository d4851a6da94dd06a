#pragma once

#include "Node/EntryHandler.h"

namespace fescueline {

/// Refuses all claims; stands in until the claim batcher is merged.
class UnavailableClaims final : public IdempotencyClaims {
 public:
  void Claim(const std::string&, const std::string&, const Id128&,
             std::function<void(Result)> aDecided) override {
    aDecided(Result::Unavailable);
  }
  void Release(const std::string&, const std::string&, const Id128&) override {}
};

}  // namespace fescueline
