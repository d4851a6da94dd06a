#include "Mesh/TokenExchange.h"

#include <algorithm>
#include <utility>

#include "Core/RandomSource.h"
#include "Mesh/MeshMember.h"

namespace fescueline {

namespace {
constexpr Duration kTickPeriod = std::chrono::milliseconds(10);
/// Time without a message from the issuer after which the issuer, too, regards
/// this node as unreachable. Each end of a connection closes it after 1.5 s
/// without a message, in the worst case one after the other.
constexpr Duration kIssuerTimeout = std::chrono::milliseconds(3500);
/// Time without a message from the issuer after which candidates read its
/// lease.
constexpr Duration kIssuerOverdue = std::chrono::milliseconds(1200);
/// Number of nodes that read the lease when there is no message from an issuer.
/// In addition, each node reads it after its start, since its earlier process
/// may have held it.
constexpr size_t kIssuerCandidates = 3;
/// Time after its first read in which a starting node reads the lease even if
/// it is not among the candidates.
constexpr Duration kStartupWindow = std::chrono::milliseconds(1500);
/// Mean time between the first reads of two nodes of a fleet that starts. The
/// first one acquires the lease and announces it before most others read it.
constexpr Duration kFirstReadSpacing = std::chrono::milliseconds(5);
constexpr Duration kMaxFirstReadDelay = std::chrono::seconds(1);
}  // namespace

TokenExchange::TokenExchange(Settings aSettings)
    : settings(std::move(aSettings)),
      issuer(GrantSettings{}, SteadyClock().Now()),
      grants(
          GrantSettings{},
          [this](const std::string& aOrganisation,
                 const GrantHolder::Request& aRequest) {
            return this->RequestTokens(aOrganisation, aRequest);
          },
          [this] { this->ScheduleTick(); }),
      lease({.io = this->settings.io,
             .store = this->settings.store,
             .table = std::string(kIssuerTable),
             .key = std::string(kIssuerKey),
             .node = this->settings.node,
             .incarnation = this->settings.incarnation.ToString(),
             .onChange = [this](bool aHeld) { this->OnLeaseChange(aHeld); }}),
      timer(this->settings.io) {}

void TokenExchange::OnLeaseChange(bool aHeld) {
  this->issuer = GrantIssuer(GrantSettings{}, SteadyClock().Now());
  if (aHeld) {
    this->ApplyLimits();
  }
  // Otherwise peers would learn of it from the next pong and refuse requests
  // for lack of tokens until then.
  this->settings.onIssuing();
}

void TokenExchange::ApplyLimits() {
  const MeshConfigPtr& now = this->settings.config.Current();
  if (!now) {
    return;
  }
  this->appliedMembers = this->settings.fleet.Size();
  const TimePoint at = SteadyClock().Now();
  for (const MeshOrganisation& organisation : now->All().organisations) {
    this->grants.SetLimit(organisation.name, organisation.rate,
                          this->settings.fleet.Size(), at);
  }
  this->ApplyReachableNodes();
  this->grants.Retain([&now](const std::string& aName) {
    return now->FindOrganisation(aName) != nullptr;
  });
}

void TokenExchange::OnMembers() {
  if (this->settings.fleet.Size() != this->appliedMembers) {
    this->ApplyLimits();
  }
  if (!this->firstReadAt) {
    const Duration spread = std::min<Duration>(
        kMaxFirstReadDelay, kFirstReadSpacing * this->settings.fleet.Size());
    this->firstReadAt =
        SteadyClock().Now() +
        FromSeconds(ToSeconds(spread) * ThreadRandom().NextDouble());
  }
}

void TokenExchange::ApplyReachableNodes() {
  const MeshConfigPtr& now = this->settings.config.Current();
  if (!now || !this->IsIssuing()) {
    return;
  }
  const size_t nodes = std::max<size_t>(1, this->settings.fleet.Size());
  std::set<std::string> reached = this->settings.connectedNodes();
  reached.insert(this->settings.node);
  const TimePoint at = SteadyClock().Now();
  for (const MeshOrganisation& organisation : now->All().organisations) {
    this->issuer.SetLimit(organisation.name, organisation.rate, nodes,
                          reached.size(), at);
  }
}

void TokenExchange::OnPeerState(const std::string& aNode, bool aIsIssuer) {
  if (aIsIssuer) {
    this->lastIssuer = aNode;
    this->lastIssuerSeenAt = SteadyClock().Now();
  } else if (aNode == this->lastIssuer) {
    // It has released the lease and issues no more tokens.
    this->lastIssuer.clear();
    this->lastIssuerSeenAt = TimePoint{};
  }
}

void TokenExchange::OnGrant(const TokenGrantFrame& aGrant) {
  this->grants.OnGrant(aGrant.organisation,
                       {.requestId = aGrant.requestId,
                        .tokens = aGrant.tokens,
                        .mayRefuse = aGrant.mayRefuse},
                       SteadyClock().Now());
}

TokenGrantFrame TokenExchange::Grant(const TokenRequestFrame& aRequest) {
  TokenGrantFrame grant{.organisation = aRequest.organisation,
                        .requestId = aRequest.requestId};
  if (this->IsIssuing()) {
    const TimePoint now = SteadyClock().Now();
    grant.mayRefuse = this->issuer.MayRefuse(now);
    grant.tokens =
        this->issuer.Grant(aRequest.organisation, aRequest.tokens, now);
  }
  return grant;
}

bool TokenExchange::RequestTokens(const std::string& aOrganisation,
                                  const GrantHolder::Request& aRequest) {
  TokenRequestFrame request{.organisation = aOrganisation,
                            .tokens = aRequest.tokens,
                            .requestId = aRequest.requestId};
  if (this->IsIssuing()) {
    asio::post(this->settings.io,
               [this, request] { this->OnGrant(this->Grant(request)); });
    return true;
  }
  const auto client = this->settings.fleet.ClientOf(this->IssuerNode());
  if (!client) {
    return false;
  }
  client->SendMessage(std::move(request));
  return true;
}

void TokenExchange::ScheduleTick() {
  if (this->timerRunning) {
    return;
  }
  this->timerRunning = true;
  this->timer.expires_after(kTickPeriod);
  this->timer.async_wait([this](const asio::error_code& aError) {
    this->timerRunning = false;
    if (aError) {
      return;
    }
    this->grants.Tick(SteadyClock().Now());
    if (this->grants.HasWaiters()) {
      this->ScheduleTick();
    }
  });
}

std::string TokenExchange::IssuerNode() const {
  const bool recent =
      SteadyClock().Now() - this->lastIssuerSeenAt < kIssuerTimeout;
  return recent ? this->lastIssuer : this->lease.Holder();
}

bool TokenExchange::IsIsolated() const {
  if (this->IsIssuing()) {
    return false;
  }
  const Duration silence = SteadyClock().Now() - this->lastIssuerSeenAt;
  if (silence > kIssuerTimeout) {
    return true;
  }
  // A process that has ended issues no more tokens.
  return this->settings.fleet.IsDown(this->lastIssuer);
}

bool TokenExchange::IsCandidate(TimePoint aNow) const {
  const bool starts = this->firstReadAt && aNow >= *this->firstReadAt &&
                      aNow - *this->firstReadAt < kStartupWindow;
  // A node whose target is not ready may be about to stop.
  return this->settings.target.State() == TargetState::Ready &&
         (starts || this->settings.fleet.IsAmongFirstReady(this->settings.node,
                                                           kIssuerCandidates));
}

void TokenExchange::Maintain() {
  const TimePoint now = SteadyClock().Now();
  this->lease.Tick(this->IsCandidate(now) &&
                   now - this->lastIssuerSeenAt > kIssuerOverdue);
  this->ApplyReachableNodes();
  this->grants.SetIsolated(this->IsIsolated(), SteadyClock().Now());
}

}  // namespace fescueline
