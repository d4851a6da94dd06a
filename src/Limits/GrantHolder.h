#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Limits/GrantSettings.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

/// This node's tokens of the organisations' rates: a small fixed share that
/// always accrues, and grants of the issuer. Requests that find none wait for
/// a grant for a short time. No locking.
class GrantHolder {
 public:
  /// Tells a waiting request whether it was admitted.
  using Decided = std::function<void(bool)>;
  /// A request for tokens.
  struct Question {
    /// Repeated in the answer; never 0.
    uint64_t number = 0;
    uint32_t wanted = 0;
  };
  /// The issuer's answer.
  struct Answer {
    /// Number of the question; 0 if the issuer does not repeat it.
    uint64_t number = 0;
    uint32_t tokens = 0;
    /// Whether no tokens mean that the organisation is over its rate; false if
    /// the node that answers is no issuer.
    bool mayRefuse = false;
  };
  /// Asks the issuer for tokens; false if it can't be reached.
  using Ask = std::function<bool(const std::string&, const Question&)>;

  /// aOnWaiting tells that a request waits and Tick is needed.
  GrantHolder(const GrantSettings& aSettings, Ask aAsk,
              std::function<void()> aOnWaiting)
      : settings(aSettings),
        ask(std::move(aAsk)),
        onWaiting(std::move(aOnWaiting)) {}

  /// Sets an organisation's limit and the number of nodes that share it.
  void SetLimit(const std::string& aOrganisation, const OrganisationRate& aRate,
                size_t aNodes, TimePoint aNow);
  /// Tells whether there is no issuer for this node. It then uses an even part
  /// of each rate by itself, which the issuer does not give to others.
  void SetAlone(bool aAlone, TimePoint aNow);
  /// Forgets the organisations for which aKeep is false.
  void Retain(const std::function<bool(const std::string&)>& aKeep);

  /// Spends a token, or waits for one until aWaitUntil. aDecided runs once,
  /// perhaps before the return.
  void Admit(const std::string& aOrganisation, TimePoint aNow,
             TimePoint aWaitUntil, Decided aDecided);
  /// Gives back the token of a request that was not sent to any target.
  void Return(const std::string& aOrganisation, TimePoint aNow);
  /// The issuer answered a question, perhaps one that was asked again since.
  void OnGrant(const std::string& aOrganisation, const Answer& aAnswer,
               TimePoint aNow);
  /// Ends waits and repeats lost requests; call every 10 ms while HasWaiters.
  void Tick(TimePoint aNow);
  bool HasWaiters() const { return this->waiting > 0; }

 private:
  struct Waiter {
    TimePoint until;
    Decided decided;
  };
  struct Asked {
    uint64_t number = 0;
    TimePoint at{};
  };
  /// Tokens of one answer.
  struct Granted {
    uint32_t tokens = 0;
    TimePoint until{};
  };
  struct Share {
    OrganisationRate rate;
    size_t nodes = 0;
    /// Share of the rate that this node has without the issuer.
    TokenBucket fixed;
    /// Granted tokens that are left; the first ones are spent first.
    std::deque<Granted> granted;
    /// When the token that was spent last would have lapsed.
    TimePoint spentUntil{};
    std::deque<Waiter> waiters;
    /// Questions without an answer whose tokens would not have lapsed, in the
    /// order in which they were asked.
    std::deque<Asked> asked;
    TimePoint nextAskAt{};
    /// Arrivals since demandAt, and their moving average per second.
    uint32_t arrivals = 0;
    double demand = 0;
    TimePoint demandAt{};
  };

  /// Sets what this node may use by itself.
  void ApplyFixed(Share& aShare, TimePoint aNow);
  bool TrySpend(Share& aShare, TimePoint aNow);
  void UpdateDemand(Share& aShare, TimePoint aNow);
  void MaybeAsk(const std::string& aOrganisation, Share& aShare,
                TimePoint aNow);
  /// Takes the question that an answer belongs to out of the open ones;
  /// nothing if there is none.
  static std::optional<Asked> TakeAsked(Share& aShare, uint64_t aNumber);
  void ForgetLapsed(Share& aShare, TimePoint aNow) const;
  /// Decides the waiters that can be admitted or whose time is over.
  void Serve(Share& aShare, TimePoint aNow, bool aRefuseRest);

  GrantSettings settings;
  Ask ask;
  std::function<void()> onWaiting;
  std::unordered_map<std::string, Share> shares;
  size_t waiting = 0;
  /// Number of the last question.
  uint64_t lastQuestion = 0;
  bool alone = false;
};

}  // namespace fescueline
