#pragma once

#include <string>
#include <vector>

#include "Mesh/MeshContext.h"
#include "Node/RunningAttempt.h"
#include "Transport/Frames.h"
#include "Transport/HttpMessage.h"
#include "Transport/RequestContext.h"

namespace fescueline {

/// A request at its entry node: the route and organisation that the
/// configuration gives it, the attributes inherited from a parent request, and
/// the frame that an attempt sends. Runs on the event loop.
class EntryRequest {
 public:
  /// Attributes that differ between the attempts of a request.
  struct AttemptTerms {
    /// Whether an earlier attempt has reached a target.
    bool isRetry = false;
    /// Retries granted to the receiver.
    uint32_t retries = 0;
    /// Secret for signing the context.
    const std::string& fleetSecret;
  };

  /// aReceived must outlive this object; Classify moves its headers out.
  EntryRequest(const MeshContext& aContext, HttpRequest& aReceived);
  EntryRequest(const EntryRequest&) = delete;
  EntryRequest& operator=(const EntryRequest&) = delete;

  /// Determines route, organisation and deadline. Returns the cause if the
  /// request must be refused, otherwise None.
  Cause Classify();
  /// Inherits organisation, importance and deadline from the parent request.
  void Inherit(const RunningAttempt& aParent);
  void SetService(const std::string& aService) { this->service = aService; }
  /// Frame of an attempt; the stream number is not set.
  RequestFrame Frame(const AttemptTerms& aTerms, TimePoint aNow) const;

  const std::string& Id() const { return this->id; }
  /// Whether the identifier marks the request as a downstream call of a
  /// target.
  bool IsDownstreamCall() const;
  /// Null before Classify, or if no route matches.
  const MeshRoute* Route() const { return this->route; }
  /// Null for a route that needs no key, or before the key is verified.
  const MeshOrganisation* Organisation() const { return this->organisation; }
  /// Empty if there is none.
  std::string OrganisationName() const;
  /// Organisation for fair shares and thresholds; for a downstream call, that
  /// of the root request.
  const std::string& RootOrganisation() const { return this->rootOrganisation; }
  /// Service that the request is sent to; empty before it is selected.
  const std::string& Service() const { return this->service; }
  Importance GetImportance() const { return this->importance; }
  const Id128& RootId() const { return this->rootId; }
  /// Whether the parent request runs as a retry.
  bool IsPartOfRetry() const { return this->partOfRetry; }
  TimePoint StartedAt() const { return this->startedAt; }
  TimePoint Deadline() const { return this->deadline; }
  Duration Remaining(TimePoint aNow) const { return this->deadline - aNow; }

 private:
  Cause FindRoute();
  Cause Authenticate();

  const MeshContext& context;
  HttpRequest& received;
  /// Keeps alive the objects that route and organisation point to.
  MeshConfigPtr config;
  const MeshRoute* route = nullptr;
  const MeshOrganisation* organisation = nullptr;
  std::string id;
  std::string service;
  std::string rootOrganisation;
  Id128 rootId;
  uint32_t depth = 0;
  bool partOfRetry = false;
  Importance importance = Importance::Normal;
  std::string keyHash;
  /// Headers to send to the target.
  std::vector<HeaderWire> headers;
  TimePoint startedAt;
  TimePoint deadline;
};

}  // namespace fescueline
