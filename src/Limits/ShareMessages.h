#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "Core/Identifiers.h"
#include "Core/Time.h"
#include "Limits/TokenBucket.h"

namespace fescueline {

/// One issue of an organisation's whole limit, as the record `alloc/<org>` and
/// the organisation's rate and burst state it. A change of any of them needs a
/// new version.
struct Allocation {
  /// Version; a newer one voids all shares of older ones.
  uint64_t version = 0;
  /// Node that issues the shares.
  std::string issuer;
  /// The issuer's incarnation; a restarted issuer has no ledger.
  Id128 issuerIncarnation;
  /// Rate and burst of the organisation.
  Portion total;
};

/// Identifies a transfer: the holder's statement that it answers and, for
/// several transfers after one statement, their number.
struct TransferId {
  /// Number of the statement, counted by the holder's incarnation.
  uint64_t statement = 0;
  /// 0 is the answer to a request, higher ones are sent by the issuer unasked.
  uint32_t part = 0;
};

/// What a holder states about its share. Statements are absolute and numbered:
/// a holder credits only transfers that refer to its latest statement, so on
/// receipt the issuer knows that whatever it had sent before and the statement
/// does not contain has been lost and will never be credited.
struct ShareStatement {
  std::string organisation;
  /// Allocation version that the share belongs to.
  uint64_t allocation = 0;
  /// Holder's node id, for the answer.
  std::string holder;
  Id128 holderIncarnation;
  /// The issuer's incarnation that is addressed.
  Id128 issuerIncarnation;
  /// Grows with each statement of the incarnation, in all allocations.
  uint64_t number = 0;
  /// What the holder holds, after deducting what it gives back.
  Portion held;
  /// Tokens that it gives back.
  MicroTokens returnedTokens = 0;
  /// Estimated demand in micro-tokens per second.
  MicroTokens demand = 0;
};

/// Holder to issuer: report of demand, renewal of the share's lease, and
/// request for more.
struct ShareRequest {
  ShareStatement statement;
  /// Tokens wanted at once.
  MicroTokens wanted = 0;
};

/// Holder to issuer: gives back a part of the share; not answered.
struct ShareReturn {
  ShareStatement statement;
};

/// Issuer to holder.
struct ShareTransfer {
  std::string organisation;
  uint64_t allocation = 0;
  Id128 issuerIncarnation;
  /// The incarnation that may credit the transfer.
  Id128 holderIncarnation;
  TransferId id;
  /// What is added to the share.
  Portion portion;
  /// Tokens in it, at most its capacity.
  MicroTokens tokens = 0;
  /// What the holder should keep; it gives back what is far above.
  Portion keep;
  /// How long the whole share is valid, counted from when the holder sent the
  /// statement. Only in part 0.
  Duration validFor{};
  /// Time between the holder's reports.
  Duration reportInterval{};
  /// Shortest time between requests of a holder that has run out.
  Duration askSpacing{};
};

/// A message and the node that it goes to.
struct ShareMessage {
  std::string to;
  std::variant<ShareRequest, ShareTransfer, ShareReturn> body;
};

}  // namespace fescueline
