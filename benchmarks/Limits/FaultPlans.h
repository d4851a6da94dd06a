#pragma once

#include <vector>

#include "Demand.h"

namespace fescueline {

/// The fault plans on which the methods are compared: no fault, one fault or
/// two at a time. The demand moves to other nodes every 10 s from aStart.
inline std::vector<FaultPlan> FaultPlans(TimePoint aStart) {
  using std::chrono::seconds;
  FaultPlan none;
  none.name = "no faults";
  FaultPlan frozen = none;
  frozen.name = "node frozen 15 s";
  frozen.frozenNode = 5;
  frozen.frozenFrom = aStart + seconds(30);
  frozen.frozenUntil = aStart + seconds(45);
  FaultPlan killed = none;
  killed.name = "node killed";
  killed.killedNode = 6;
  killed.killedAt = aStart + seconds(40);
  FaultPlan paused = none;
  paused.name = "issuer paused 3 s";
  paused.issuerPausedFrom = aStart + seconds(64);
  paused.issuerPausedUntil = aStart + seconds(67);
  FaultPlan issuer = none;
  issuer.name = "issuer killed";
  issuer.issuerKilled = true;
  issuer.issuerKilledAt = aStart + seconds(64);
  FaultPlan store = none;
  store.name = "store down 30 s";
  store.storeDownFrom = aStart + seconds(50);
  store.storeDownUntil = aStart + seconds(80);
  FaultPlan both = issuer;
  both.name = "store down, issuer killed";
  both.storeDownFrom = aStart + seconds(50);
  both.storeDownUntil = aStart + seconds(80);
  return {none, frozen, killed, paused, issuer, store, both};
}

}  // namespace fescueline
