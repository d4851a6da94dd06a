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
  Id128 incarnation;
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

/// Effect of an update on a member.
enum class MemberChange : uint8_t {
  Unchanged,
  Joined,
  /// The same incarnation with other field values.
  Updated,
  /// Another incarnation of the same node; the old one has ended.
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

/// Identifies one incarnation of a member.
struct MemberRef {
  /// Node id.
  std::string node;
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

struct DirectorySettings {
  /// Region of this node.
  std::string region;
  /// Time without contact after which a member's record may be removed.
  Duration removeAfter = std::chrono::seconds(30);
};

/// Member records by service, and a failure detector for the members that this
/// node talks to. Not thread-safe; the owner locks.
///
/// Contract:
/// - The owner keeps the records as the configuration states them (Upsert and
///   Remove, or Assign), and reports contact with the incarnation that it
///   talked to (OnContact, OnUnreachable). Members that this node does not talk
///   to never become candidates for removal.
/// - RemovalCandidates only returns candidates. The owner removes a record by
///   compare-and-swap on its version, so that a member that came back with a
///   new incarnation stays.
/// - Pointers that Find and OfService return are valid until the next change.
///
/// The time without contact is counted in active time, in which a gap of more
/// than a second between two calls of RemovalCandidates counts as one second: a
/// paused process receives nothing, which does not mean that its peers have
/// failed.
class Directory {
 public:
  explicit Directory(DirectorySettings aSettings)
      : settings(std::move(aSettings)) {}

  /// Adds or updates a member.
  MemberChange Upsert(const MemberInfo& aMember);
  /// Removes a member; returns whether it was known.
  bool Remove(std::string_view aNode);
  /// Replaces all member records; members that stay keep their contact state.
  DirectoryChanges Assign(std::span<const MemberInfo> aMembers);

  /// Returns nullptr if the member is not known.
  const MemberInfo* Find(std::string_view aNode) const;
  /// Members of a service, sorted by node id. Valid until the next change.
  std::vector<const MemberInfo*> OfService(std::string_view aService) const;
  size_t Size() const { return this->members.size(); }

  /// Records that this node received a message from the member. Ignored if
  /// aIncarnation is not the recorded one.
  void OnContact(std::string_view aNode, const Id128& aIncarnation);
  /// Records that the connection to the member timed out, was lost or could not
  /// be opened. The time without contact counts from the first of these.
  void OnUnreachable(std::string_view aNode, const Id128& aIncarnation);

  /// Members whose records this node may remove by compare-and-swap: those in
  /// this node's region without contact for removeAfter, and only while at
  /// least half of the region's members that this node talks to are reachable.
  /// Otherwise a partition would remove members that are alive. Call every
  /// second.
  std::vector<MemberRef> RemovalCandidates(TimePoint aNow);

 private:
  /// What this node knows of a member's liveness.
  enum class Contact : uint8_t { Unknown, Reachable, Unreachable };

  struct Entry {
    MemberInfo info;
    /// Liveness as seen from this node.
    Contact contact = Contact::Unknown;
    /// Active time of the first failure since the last contact.
    Duration unreachableSince{0};
  };

  Entry* FindMutable(std::string_view aNode, const Id128& aIncarnation);
  void AddToService(const MemberInfo& aMember);
  void RemoveFromService(const MemberInfo& aMember);

  DirectorySettings settings;
  /// All members by node id. Sorted, so that views are deterministic.
  std::map<std::string, Entry, std::less<>> members;
  /// Node ids by service.
  std::map<std::string, std::set<std::string>, std::less<>> services;
  /// Active time so far.
  Duration activeTime{0};
  /// Time of the last call of RemovalCandidates.
  std::optional<TimePoint> lastCall;
};

}  // namespace fescueline
