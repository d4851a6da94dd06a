#include "Node/ControlMessages.h"

namespace fescueline {

namespace {

/// Flat encoding of a ShareStatement.
struct StatementWire {
  std::string organisation;
  uint64_t allocation = 0;
  std::string holder;
  std::string holderIncarnation;
  std::string issuerIncarnation;
  uint64_t number = 0;
  int64_t heldRate = 0;
  int64_t heldCapacity = 0;
  int64_t returnedTokens = 0;
  int64_t demand = 0;
  int64_t wanted = 0;
  MSGPACK_DEFINE_ARRAY(organisation, allocation, holder, holderIncarnation,
                       issuerIncarnation, number, heldRate, heldCapacity,
                       returnedTokens, demand, wanted)
};

/// Flat encoding of a ShareTransfer. Durations are in nanoseconds.
struct TransferWire {
  std::string organisation;
  uint64_t allocation = 0;
  std::string issuerIncarnation;
  std::string holderIncarnation;
  uint64_t statement = 0;
  uint32_t part = 0;
  int64_t rate = 0;
  int64_t capacity = 0;
  int64_t tokens = 0;
  int64_t keepRate = 0;
  int64_t keepCapacity = 0;
  int64_t validFor = 0;
  int64_t reportInterval = 0;
  int64_t minRequestInterval = 0;
  MSGPACK_DEFINE_ARRAY(organisation, allocation, issuerIncarnation,
                       holderIncarnation, statement, part, rate, capacity,
                       tokens, keepRate, keepCapacity, validFor, reportInterval,
                       minRequestInterval)
};

StatementWire ToWire(const ShareStatement& aStatement, MicroTokens aWanted) {
  return {.organisation = aStatement.organisation,
          .allocation = aStatement.allocation,
          .holder = aStatement.holder,
          .holderIncarnation = aStatement.holderIncarnation.ToString(),
          .issuerIncarnation = aStatement.issuerIncarnation.ToString(),
          .number = aStatement.number,
          .heldRate = aStatement.held.rate,
          .heldCapacity = aStatement.held.capacity,
          .returnedTokens = aStatement.returnedTokens,
          .demand = aStatement.demand,
          .wanted = aWanted};
}

std::optional<ShareStatement> FromWire(const StatementWire& aWire) {
  const auto holder = Id128::Parse(aWire.holderIncarnation);
  const auto issuer = Id128::Parse(aWire.issuerIncarnation);
  const bool valid = holder && issuer && aWire.heldRate >= 0 &&
                     aWire.heldCapacity >= 0 && aWire.returnedTokens >= 0 &&
                     aWire.demand >= 0 && aWire.wanted >= 0;
  if (!valid) {
    return std::nullopt;
  }
  return ShareStatement{
      .organisation = aWire.organisation,
      .allocation = aWire.allocation,
      .holder = aWire.holder,
      .holderIncarnation = *holder,
      .issuerIncarnation = *issuer,
      .number = aWire.number,
      .held = {.rate = aWire.heldRate, .capacity = aWire.heldCapacity},
      .returnedTokens = aWire.returnedTokens,
      .demand = aWire.demand};
}

TransferWire ToWire(const ShareTransfer& aTransfer) {
  return {.organisation = aTransfer.organisation,
          .allocation = aTransfer.allocation,
          .issuerIncarnation = aTransfer.issuerIncarnation.ToString(),
          .holderIncarnation = aTransfer.holderIncarnation.ToString(),
          .statement = aTransfer.id.statement,
          .part = aTransfer.id.part,
          .rate = aTransfer.portion.rate,
          .capacity = aTransfer.portion.capacity,
          .tokens = aTransfer.tokens,
          .keepRate = aTransfer.keep.rate,
          .keepCapacity = aTransfer.keep.capacity,
          .validFor = aTransfer.validFor.count(),
          .reportInterval = aTransfer.reportInterval.count(),
          .minRequestInterval = aTransfer.minRequestInterval.count()};
}

std::optional<ShareTransfer> FromWire(const TransferWire& aWire) {
  const auto holder = Id128::Parse(aWire.holderIncarnation);
  const auto issuer = Id128::Parse(aWire.issuerIncarnation);
  const bool valid = holder && issuer && aWire.rate >= 0 &&
                     aWire.capacity >= 0 && aWire.tokens >= 0 &&
                     aWire.tokens <= aWire.capacity && aWire.keepRate >= 0 &&
                     aWire.keepCapacity >= 0 && aWire.validFor >= 0 &&
                     aWire.reportInterval >= 0 && aWire.minRequestInterval >= 0;
  if (!valid) {
    return std::nullopt;
  }
  return ShareTransfer{
      .organisation = aWire.organisation,
      .allocation = aWire.allocation,
      .issuerIncarnation = *issuer,
      .holderIncarnation = *holder,
      .id = {.statement = aWire.statement, .part = aWire.part},
      .portion = {.rate = aWire.rate, .capacity = aWire.capacity},
      .tokens = aWire.tokens,
      .keep = {.rate = aWire.keepRate, .capacity = aWire.keepCapacity},
      .validFor = Duration(aWire.validFor),
      .reportInterval = Duration(aWire.reportInterval),
      .minRequestInterval = Duration(aWire.minRequestInterval)};
}

}  // namespace

std::vector<RecordWire> ToWire(const std::vector<TableRecord>& aRecords) {
  std::vector<RecordWire> wires;
  wires.reserve(aRecords.size());
  for (const TableRecord& record : aRecords) {
    wires.push_back({.key = record.key,
                     .value = record.value,
                     .version = record.version,
                     .deleted = record.deleted});
  }
  return wires;
}

std::vector<TableRecord> FromWire(std::vector<RecordWire> aRecords) {
  std::vector<TableRecord> records;
  records.reserve(aRecords.size());
  for (RecordWire& wire : aRecords) {
    records.push_back({.key = std::move(wire.key),
                       .value = std::move(wire.value),
                       .version = wire.version,
                       .deleted = wire.deleted});
  }
  return records;
}

ControlKind KindOf(const ShareMessage& aMessage) {
  if (std::holds_alternative<ShareRequest>(aMessage.body)) {
    return ControlKind::ShareRequest;
  }
  return std::holds_alternative<ShareTransfer>(aMessage.body)
             ? ControlKind::ShareTransfer
             : ControlKind::ShareReturn;
}

std::string EncodeShare(const ShareMessage& aMessage) {
  if (const auto* request = std::get_if<ShareRequest>(&aMessage.body)) {
    return EncodePayload(ToWire(request->statement, request->wanted));
  }
  if (const auto* transfer = std::get_if<ShareTransfer>(&aMessage.body)) {
    return EncodePayload(ToWire(*transfer));
  }
  return EncodePayload(
      ToWire(std::get<ShareReturn>(aMessage.body).statement, 0));
}

std::optional<ShareMessage> DecodeShare(ControlKind aKind,
                                        const std::string& aPayload) {
  if (aKind == ControlKind::ShareTransfer) {
    const auto wire = DecodePayload<TransferWire>(aPayload);
    const auto transfer = wire ? FromWire(*wire) : std::nullopt;
    if (!transfer) {
      return std::nullopt;
    }
    return ShareMessage{.to = "", .body = *transfer};
  }
  const auto wire = DecodePayload<StatementWire>(aPayload);
  const auto statement = wire ? FromWire(*wire) : std::nullopt;
  if (!statement) {
    return std::nullopt;
  }
  if (aKind == ControlKind::ShareRequest) {
    return ShareMessage{.to = "",
                        .body = ShareRequest{*statement, wire->wanted}};
  }
  return ShareMessage{.to = "", .body = ShareReturn{*statement}};
}

}  // namespace fescueline
