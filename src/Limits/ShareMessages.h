#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Core/Identifiers.h"
#include "Core/Time.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

/// Assignment of an organisation's whole limit to one issuer, as given by the
/// record `alloc/<org>` and the organisation's rate and burst. A change of any
/// of them needs a new version.
struct Allocation {
  /// A newer version invalidates all shares of older ones.
  uint64_t version = 0;
  /// Node that issues the shares.
  std::string issuer;
  /// The issuer's incarnation; a restarted issuer has lost its records.
  Id128 issuerIncarnation;
  /// Rate and burst of the organisation.
  Portion total;
};

/// Identifies a transfer: the holder's statement that it refers to and, as
/// several transfers may refer to one statement, its position among these.
struct TransferId {
  /// Number of the statement, counted by the holder's incarnation.
  uint64_t statement = 0;
  /// 0 is the answer to a request, higher ones are sent by the issuer without a
  /// request.
  uint32_t part = 0;
};

/// What a holder states about its share. Statements are absolute and numbered:
/// a holder credits only transfers that refer to its latest statement, so on
/// receipt the issuer knows that anything it sent before and the statement does
/// not contain was lost and will never be credited.
struct ShareStatement {
  std::string organisation;
  /// Allocation version that the share belongs to.
  uint64_t allocation = 0;
  /// Holder's node id, for the answer.
  std::string holder;
  Id128 holderIncarnation;
  /// Incarnation of the issuer that the statement is addressed to.
  Id128 issuerIncarnation;
  /// Grows with each statement of the incarnation, across allocations.
  uint64_t number = 0;
  /// What the holder holds, without what it returns.
  Portion held;
  /// Tokens that it returns.
  MicroTokens returnedTokens = 0;
  /// Estimated demand in micro-tokens per second.
  MicroTokens demand = 0;
};

/// Holder to issuer: report of demand, renewal of the share's lease, and
/// request for more.
struct ShareRequest {
  ShareStatement statement;
  /// Tokens wanted immediately.
  MicroTokens wanted = 0;
};

/// Holder to issuer: returns a part of the share; gets no answer.
struct ShareReturn {
  ShareStatement statement;
};

/// Issuer to holder: adds to the share and, in part 0, renews its lease.
struct ShareTransfer {
  std::string organisation;
  uint64_t allocation = 0;
  Id128 issuerIncarnation;
  /// The incarnation that may credit the transfer.
  Id128 holderIncarnation;
  TransferId id;
  /// What is added to the share.
  Portion portion;
  /// Tokens in the portion, at most its capacity.
  MicroTokens tokens = 0;
  /// What the holder should keep; it returns a rate that is more than a tenth
  /// above.
  Portion keep;
  /// How long the whole share is valid, counted from when the holder sent the
  /// statement. Only in part 0.
  Duration validFor{};
  /// Time between the holder's reports.
  Duration reportInterval{};
  /// Shortest time between requests of a holder whose share is exhausted.
  Duration minRequestInterval{};
};

/// A message and its destination node.
struct ShareMessage {
  std::string to;
  std::variant<ShareRequest, ShareTransfer, ShareReturn> body;
};

}  // namespace fescueline
