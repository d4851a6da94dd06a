#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/EnumNames.h"
#include "Core/Identifiers.h"
#include "Core/Time.h"

namespace fescueline {

/// Member record of an instance.
struct MemberInfo {
  /// Node id.
  std::string node;
  /// Incarnation of the node.
  Id128 incarnation;
  /// Data centre of the instance.
  std::string dataCentre;
  /// Region of the data centre.
  std::string region;
  /// Service of its target; empty for a node without a target.
  std::string service;
  /// Address for requests from other nodes.
  std::string peerAddress;
  /// Address for control messages.
  std::string controlAddress;

  bool operator==(const MemberInfo&) const = default;
};

/// What an update did to a member.
enum class MemberChange : uint8_t {
  Unchanged,
  Joined,
  /// The same incarnation with another description.
  Updated,
  /// Another incarnation of the same node; the old one is gone.
  Replaced
};

template <>
struct EnumNames<MemberChange> {
  static constexpr std::array<EnumName<MemberChange>, 4> kNames{
      {{MemberChange::Unchanged, "unchanged"},
       {MemberChange::Joined, "joined"},
       {MemberChange::Updated, "updated"},
       {MemberChange::Replaced, "replaced"}}};
};

/// Names one incarnation of a member.
struct MemberRef {
  /// Node id.
  std::string node;
  /// Incarnation of the node.
  Id128 incarnation;

  bool operator==(const MemberRef&) const = default;
};

/// Difference between two sets of member records.
struct DirectoryChanges {
  /// Members that joined, were updated or replaced.
  std::vector<MemberInfo> present;
  /// Incarnations that left or were replaced.
  std::vector<MemberRef> gone;
};

/// Settings of a Directory.
struct DirectorySettings {
  /// Region of this node.
  std::string region;
  /// Silence after which a member's record may be removed.
  Duration removeAfter = std::chrono::seconds(30);
};

/// Member records by service, and which of the members that this node talks
/// to have fallen silent. Not thread-safe; the owner locks.
///
/// Contract:
/// - The owner keeps the records as the configuration states them (Upsert and
///   Remove, or Assign), and reports contact with the incarnation that it
///   talked to (OnHeard, OnSilent). Members that it does not talk to are never
///   removable from here.
/// - Removable only names candidates. The owner removes a record by
///   compare-and-swap on its version, so that a member that came back with a
///   new incarnation stays.
/// - Pointers that Find and OfService return are valid until the next change.
///
/// Silence is counted in active time, in which a gap of more than a second
/// between two calls of Removable counts as one second: a process that was
/// paused heard nothing, which says nothing about its peers.
class Directory {
 public:
  explicit Directory(DirectorySettings aSettings)
      : settings(std::move(aSettings)) {}

  /// Adds or updates a member.
  MemberChange Upsert(const MemberInfo& aMember);
  /// Removes a member; returns whether it was known.
  bool Remove(std::string_view aNode);
  /// Replaces all member records, keeping what is known of those that stay.
  DirectoryChanges Assign(std::span<const MemberInfo> aMembers);

  /// A member; nullptr if it is not known.
  const MemberInfo* Find(std::string_view aNode) const;
  /// Members of a service, by node id. Valid until the next change.
  std::vector<const MemberInfo*> OfService(std::string_view aService) const;
  /// Number of members.
  size_t Size() const { return this->members.size(); }

  /// This node received something from the member. Ignored for another
  /// incarnation than the recorded one.
  void OnHeard(std::string_view aNode, const Id128& aIncarnation);
  /// The connection to the member went silent, was lost, or could not be
  /// opened. Silence counts from the first of these.
  void OnSilent(std::string_view aNode, const Id128& aIncarnation);

  /// Members whose records this node may remove by compare-and-swap: silent
  /// for long enough and in this node's region, and only while most of the
  /// region's members that this node talks to are heard. Otherwise a
  /// partition would remove members that are alive. Call every second.
  std::vector<MemberRef> Removable(TimePoint aNow);

 private:
  /// What this node knows of a member's liveness.
  enum class Contact : uint8_t { None, Heard, Silent };

  /// One member.
  struct Entry {
    /// The record.
    MemberInfo info;
    /// Liveness as seen from here.
    Contact contact = Contact::None;
    /// Active time at which the silence began.
    Duration silentSince{0};
  };

  Entry* Mutable(std::string_view aNode, const Id128& aIncarnation);
  void AddToService(const MemberInfo& aMember);
  void RemoveFromService(const MemberInfo& aMember);

  /// Settings.
  DirectorySettings settings;
  /// All members by node id. Sorted, so that views are deterministic.
  std::map<std::string, Entry, std::less<>> members;
  /// Node ids by service.
  std::map<std::string, std::set<std::string>, std::less<>> services;
  /// Active time so far.
  Duration activeTime{0};
  /// Time of the last call of Removable.
  std::optional<TimePoint> lastCall;
};

}  // namespace fescueline
