#pragma once

#include <string_view>

#include "Mesh/EntryRequest.h"

namespace fescueline {

/// Tells the log, the metrics and a refused caller what becomes of a request at
/// its entry node. Runs on the loop.
class RequestReporter {
 public:
  /// Both outlive this.
  RequestReporter(const MeshContext& aContext, const EntryRequest& aRequest)
      : context(aContext), request(aRequest) {}

  /// A target's response is passed on as a whole.
  void Served(int aStatus) const;
  /// Another attempt follows aAttempts ones.
  void Repeated(Outcome aOutcome, Cause aCause, uint32_t aAttempts) const;
  /// A peer sent what fits no response.
  void Unfit(const std::string& aPeer, std::string_view aPart,
             int aStatus) const;
  /// The caller gets no whole response of a target.
  void Unserved(std::string_view aEvent, Outcome aOutcome, Cause aCause,
                uint32_t aAttempts) const;
  /// The caller waits for no response any more.
  void CallerGone(uint32_t aAttempts) const;

  /// Response to the caller of a request that is refused; aRetryAfter is zero
  /// if it should not come back.
  HttpResponse Refusal(Outcome aOutcome, Cause aCause,
                       Duration aRetryAfter) const;

 private:
  void LogEnd(std::string_view aEvent, Outcome aOutcome, Cause aCause,
              uint32_t aAttempts) const;

  const MeshContext& context;
  const EntryRequest& request;
};

}  // namespace fescueline
