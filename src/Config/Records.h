#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Config/JsonReader.h"
#include "Config/LabelSet.h"
#include "Config/PolicyLabels.h"
#include "Config/Selector.h"
#include "Core/EnumNames.h"
#include "Core/Identifiers.h"

namespace fescueline {

/// `org/<name>`: an organisation's fleet-wide limit and weight.
struct OrganisationRecord {
  /// Requests per second.
  double rate = 0;
  /// Largest burst, in requests.
  double burst = 0;
  /// Weight of its fair share of a target, relative to other organisations.
  double weight = 1;

  static OrganisationRecord FromJson(std::string_view aText,
                                     UnknownFields aUnknown);
  std::string ToJson() const;
  bool operator==(const OrganisationRecord&) const = default;
};

/// Only active keys are accepted.
enum class KeyState : uint8_t { Active, Withdrawn };

template <>
struct EnumNames<KeyState> {
  static constexpr std::array<EnumName<KeyState>, 2> kNames{
      {{KeyState::Active, "active"}, {KeyState::Withdrawn, "withdrawn"}}};
};

/// `key/<sha256 of key>`: a caller's key.
struct KeyRecord {
  /// Identifier in the configuration API and in commands; not secret.
  std::string id;
  /// Organisation of the requests with this key.
  std::string organisation;
  /// Operator's name for the key; may be empty.
  std::string name;
  KeyState state = KeyState::Withdrawn;

  static KeyRecord FromJson(std::string_view aText, UnknownFields aUnknown);
  std::string ToJson() const;
  bool operator==(const KeyRecord&) const = default;
};

/// `route/<name>`: requests that go to one service.
struct RouteRecord {
  /// Service that handles the requests.
  std::string service;
  /// Leading path segments, such as "/fees"; "/" matches every path.
  std::string pathPrefix;
  /// HTTP methods; empty for all.
  std::vector<std::string> methods;
  /// Labels that selectors can match.
  LabelSet labels;
  /// Policy labels among them, parsed from `labels`.
  PolicyLabels policy;

  static RouteRecord FromJson(std::string_view aText, UnknownFields aUnknown);
  std::string ToJson() const;
  bool operator==(const RouteRecord&) const = default;
};

/// `rule/<name>`: labels for the requests that a selector matches.
struct RuleRecord {
  /// Requests that the rule applies to.
  Selector selector;
  /// Labels that the rule sets; only policy labels have an effect.
  LabelSet labels;
  /// Policy labels among them, parsed from `labels`.
  PolicyLabels policy;

  static RuleRecord FromJson(std::string_view aText, UnknownFields aUnknown);
  std::string ToJson() const;
  bool operator==(const RuleRecord&) const = default;
};

/// `alloc/<org>`: the node that issues an organisation's rate shares.
struct AllocationRecord {
  /// Allocation version; shares of an older version are invalid.
  uint64_t version = 0;
  /// Id of the node that issues the shares.
  std::string issuer;
  /// Incarnation of that node.
  Id128 issuerIncarnation;

  static AllocationRecord FromJson(std::string_view aText,
                                   UnknownFields aUnknown);
  std::string ToJson() const;
  bool operator==(const AllocationRecord&) const = default;
};

/// `member/<node id>`: a node of the fleet.
struct MemberRecord {
  /// Identifier of the current run of the node's process.
  Id128 incarnation;
  /// Data centre, for the choice of targets and vouchers.
  std::string dataCentre;
  /// Region of the data centre.
  std::string region;
  /// Service of the node's target; empty if it has none.
  std::string service;
  /// Address of the peer listener, host:port.
  std::string peerAddress;
  /// Address of the control socket, host:port.
  std::string controlAddress;

  static MemberRecord FromJson(std::string_view aText, UnknownFields aUnknown);
  std::string ToJson() const;
  bool operator==(const MemberRecord&) const = default;
};

/// `vouchers`: the current voucher set, the nodes whose majority confirms the
/// version of the configuration.
struct VouchersRecord {
  /// Node ids, sorted and unique.
  std::vector<std::string> nodes;
  /// The set before this one, whose majority must acknowledge this record too.
  std::vector<std::string> previous;
  /// Version of the transaction that wrote the record; not part of the value.
  uint64_t version = 0;

  static VouchersRecord FromJson(std::string_view aText,
                                 UnknownFields aUnknown);
  std::string ToJson() const;
  bool operator==(const VouchersRecord&) const = default;
};

}  // namespace fescueline
