#include "Mesh/EntryRequest.h"

#include <algorithm>
#include <utility>

#include "Mesh/CallerRequest.h"

namespace fescueline {

namespace {
/// Time reserved for the response's way back; targets get a deadline that much
/// earlier. Longer than the period at which a target's node checks its queue,
/// so that the "not run" refusal of a request that expires there still arrives
/// in time.
constexpr Duration kReturnTime = std::chrono::milliseconds(15);
/// Timeout of requests without a timeout header.
constexpr Duration kDefaultTimeout = std::chrono::seconds(10);
}  // namespace

EntryRequest::EntryRequest(const MeshContext& aContext, HttpRequest& aReceived)
    : context(aContext),
      received(aReceived),
      config(aContext.config.Current()),
      id(FindHeader(aReceived.headers, aContext.headers.requestId)
             .value_or("")),
      startedAt(SteadyClock().Now()) {}

Cause EntryRequest::Classify() {
  if (!this->config) {
    return Cause::StaleKnowledge;
  }
  const HeaderNames& names = this->context.headers;
  this->deadline = this->startedAt + kDefaultTimeout;
  if (const auto timeout = TimeoutOf(this->received.headers, names)) {
    this->deadline = this->startedAt + *timeout;
  }
  Cause cause = this->FindRoute();
  if (cause == Cause::None) {
    cause = this->Authenticate();
  }
  if (cause != Cause::None) {
    return cause;
  }
  this->importance =
      this->config->ImportanceOf(*this->route, this->organisation);
  this->rootId = Id128::Generate();
  this->rootOrganisation = this->OrganisationName();
  this->headers =
      TargetHeaders(std::move(this->received.headers), names,
                    this->context.settings.service, this->rootOrganisation);
  return Cause::None;
}

Cause EntryRequest::FindRoute() {
  this->route = this->config->FindRoute(HostOf(this->received.headers),
                                        PathOf(this->received.target));
  if (this->route == nullptr) {
    // A node with an old configuration may not know the route yet.
    return this->context.IsFresh() ? Cause::NoRoute : Cause::StaleKnowledge;
  }
  this->deadline =
      std::min(this->deadline, this->startedAt + this->route->timeout);
  return Cause::None;
}

Cause EntryRequest::Authenticate() {
  if (this->route->open || !this->config->HasOrganisations()) {
    return Cause::None;
  }
  if (!this->context.IsFresh()) {
    return Cause::StaleKnowledge;
  }
  const auto key =
      FindHeader(this->received.headers, this->context.headers.key);
  if (!key || key->empty()) {
    return Cause::NoKey;
  }
  this->organisation = this->config->FindByKey(std::string(*key));
  if (this->organisation == nullptr) {
    return Cause::UnknownKey;
  }
  this->keyHash = AsBytes(Sha256(*key));
  return Cause::None;
}

void EntryRequest::Inherit(const RunningAttempt& aParent) {
  const RequestContext& root = aParent.Context();
  this->rootId = root.rootId;
  this->rootOrganisation = root.organisation;
  this->importance = root.importance;
  this->depth = root.depth + 1;
  this->partOfRetry = root.isRetry;
  this->deadline = std::min(this->deadline, aParent.Deadline());
}

RequestFrame EntryRequest::Frame(const AttemptTerms& aTerms,
                                 TimePoint aNow) const {
  RequestContext sent;
  sent.organisation = this->rootOrganisation;
  sent.keyHash = this->keyHash;
  sent.rootId = this->rootId;
  sent.depth = this->depth;
  sent.isRetry = this->partOfRetry || aTerms.isRetry;
  sent.attemptId = Id128::Generate();
  sent.route = this->route->name;
  sent.service = this->service;
  sent.importance = this->importance;
  sent.idempotent = this->route->idempotent;
  sent.open = this->organisation == nullptr;
  sent.remaining =
      std::max(Duration::zero(), this->Remaining(aNow) - kReturnTime);
  sent.age = aNow - this->startedAt;
  sent.configVersion = this->config->Version();
  return {.context = SignContext(sent, aTerms.fleetSecret),
          .retries = aTerms.retries,
          .method = this->received.method,
          .target = this->received.target,
          .headers = this->headers,
          .body = this->received.body};
}

bool EntryRequest::IsDownstreamCall() const {
  return this->id.find('.') != std::string::npos && this->route->open;
}

std::string EntryRequest::OrganisationName() const {
  return this->organisation == nullptr ? "" : this->organisation->name;
}

}  // namespace fescueline
