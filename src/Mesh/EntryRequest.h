#pragma once

#include <string>
#include <vector>

#include "Mesh/MeshContext.h"
#include "Node/RunningAttempt.h"
#include "Transport/Frames.h"
#include "Transport/HttpMessage.h"
#include "Transport/RequestContext.h"

namespace fescueline {

/// A request at its entry node: what the configuration says about it, what it
/// inherits from the request that makes it, and the frame that an attempt
/// sends. Runs on the loop.
class EntryRequest {
 public:
  /// What differs between the attempts of a request.
  struct AttemptTerms {
    /// Whether an attempt before this one has reached a target.
    bool repeated = false;
    /// Retries that are passed on.
    uint32_t retries = 0;
    /// Secret for signing the context.
    const std::string& fleetSecret;
  };

  /// aReceived outlives this; Classify takes its headers.
  EntryRequest(const MeshContext& aContext, HttpRequest& aReceived);
  EntryRequest(const EntryRequest&) = delete;
  EntryRequest& operator=(const EntryRequest&) = delete;

  /// Finds route, organisation and deadline; why the request may not run, or
  /// None.
  Cause Classify();
  /// Takes over what the request that makes this one has.
  void Inherit(const RunningAttempt& aParent);
  void SetService(const std::string& aService) { this->service = aService; }
  /// Frame of an attempt, which has no stream yet.
  RequestFrame Frame(const AttemptTerms& aTerms, TimePoint aNow) const;

  const std::string& Id() const { return this->id; }
  /// Whether a target makes the request, going by its identifier.
  bool IsCall() const;
  /// Null if there is none or it is not known yet.
  const MeshRoute* Route() const { return this->route; }
  /// Null for a route that needs no key, and as long as the key is unknown.
  const MeshOrganisation* Organisation() const { return this->organisation; }
  /// Empty if there is none.
  std::string OrganisationName() const;
  /// Organisation for shares and thresholds; that of the root for a call.
  const std::string& ShareOf() const { return this->shareOf; }
  /// Service that the request goes to; empty before it is chosen.
  const std::string& Service() const { return this->service; }
  Importance GetImportance() const { return this->importance; }
  const Id128& RootId() const { return this->rootId; }
  /// Whether the request that makes this one runs as a repeat.
  bool IsOfRepeat() const { return this->ofRepeat; }
  TimePoint StartedAt() const { return this->startedAt; }
  TimePoint Deadline() const { return this->deadline; }
  Duration Remaining(TimePoint aNow) const { return this->deadline - aNow; }

 private:
  Cause FindRoute();
  Cause Authenticate();

  const MeshContext& context;
  HttpRequest& received;
  /// Holds what route and organisation point to.
  MeshConfigPtr config;
  const MeshRoute* route = nullptr;
  const MeshOrganisation* organisation = nullptr;
  std::string id;
  std::string service;
  std::string shareOf;
  Id128 rootId;
  uint32_t depth = 0;
  bool ofRepeat = false;
  Importance importance = Importance::Normal;
  std::string keyHash;
  /// Headers for the target.
  std::vector<HeaderWire> headers;
  TimePoint startedAt;
  TimePoint deadline;
};

}  // namespace fescueline
