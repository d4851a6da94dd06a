#pragma once

#include <string_view>

#include "Mesh/EntryRequest.h"

namespace fescueline {

/// Records the result of a request at its entry node in the log and the
/// metrics, and builds the response to a refused caller. Runs on the event
/// loop.
class RequestReporter {
 public:
  /// Both parameters must outlive the reporter.
  RequestReporter(const MeshContext& aContext, const EntryRequest& aRequest)
      : context(aContext), request(aRequest) {}

  /// Records that a complete response from a target is delivered.
  void Served(int aStatus) const;
  /// Records that the request is retried after aAttempts attempts.
  void Retried(Outcome aOutcome, Cause aCause, uint32_t aAttempts) const;
  /// Records that a peer sent a frame that is invalid in the sequence of a
  /// response. aPart: invalid part of the response.
  void ProtocolError(const std::string& aPeer, std::string_view aPart,
                     int aStatus) const;
  /// Records that the caller gets no complete response from a target.
  void Failed(std::string_view aEvent, Outcome aOutcome, Cause aCause,
              uint32_t aAttempts) const;
  /// Records that the caller disconnected or its request was cancelled.
  void CallerGone(uint32_t aAttempts) const;

  /// Response to the caller of a refused request. aRetryAfter is zero if the
  /// caller should not retry.
  HttpResponse Refusal(Outcome aOutcome, Cause aCause,
                       Duration aRetryAfter) const;

 private:
  void LogEnd(std::string_view aEvent, Outcome aOutcome, Cause aCause,
              uint32_t aAttempts) const;

  const MeshContext& context;
  const EntryRequest& request;
};

}  // namespace fescueline
