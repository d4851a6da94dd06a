#include "Membership/Directory.h"

#include <algorithm>
#include <utility>

namespace fescueline {

namespace {
/// A longer gap between two calls counts as a pause of the process.
constexpr Duration kLongestGap = std::chrono::seconds(1);
}  // namespace

MemberChange Directory::Upsert(const MemberInfo& aMember) {
  const auto [found, added] =
      this->members.try_emplace(aMember.node, Entry{.info = aMember});
  if (added) {
    this->AddToService(aMember);
    return MemberChange::Joined;
  }
  Entry& entry = found->second;
  if (entry.info == aMember) {
    return MemberChange::Unchanged;
  }
  const bool replaced = entry.info.incarnation != aMember.incarnation;
  this->RemoveFromService(entry.info);
  entry.info = aMember;
  if (replaced) {
    // The contact state of the old incarnation does not apply to the new one.
    entry.contact = Contact::Unknown;
  }
  this->AddToService(aMember);
  return replaced ? MemberChange::Replaced : MemberChange::Updated;
}

bool Directory::Remove(std::string_view aNode) {
  const auto found = this->members.find(aNode);
  if (found == this->members.end()) {
    return false;
  }
  this->RemoveFromService(found->second.info);
  this->members.erase(found);
  return true;
}

DirectoryChanges Directory::Assign(std::span<const MemberInfo> aMembers) {
  DirectoryChanges changes;
  std::set<std::string_view> remaining;
  for (const MemberInfo& member : aMembers) {
    remaining.insert(member.node);
    const MemberInfo* known = this->Find(member.node);
    const Id128 before = known == nullptr ? Id128{} : known->incarnation;
    const MemberChange change = this->Upsert(member);
    if (change == MemberChange::Replaced) {
      changes.gone.push_back({.node = member.node, .incarnation = before});
    }
    if (change != MemberChange::Unchanged) {
      changes.present.push_back(member);
    }
  }
  for (const auto& [node, entry] : this->members) {
    if (!remaining.contains(node)) {
      changes.gone.push_back(
          {.node = node, .incarnation = entry.info.incarnation});
    }
  }
  for (const MemberRef& gone : changes.gone) {
    if (!remaining.contains(gone.node)) {
      this->Remove(gone.node);
    }
  }
  return changes;
}

const MemberInfo* Directory::Find(std::string_view aNode) const {
  const auto found = this->members.find(aNode);
  return found == this->members.end() ? nullptr : &found->second.info;
}

std::vector<const MemberInfo*> Directory::OfService(
    std::string_view aService) const {
  std::vector<const MemberInfo*> view;
  const auto found = this->services.find(aService);
  if (found != this->services.end()) {
    view.reserve(found->second.size());
    for (const std::string& node : found->second) {
      view.push_back(this->Find(node));
    }
  }
  return view;
}

void Directory::OnContact(std::string_view aNode, const Id128& aIncarnation) {
  if (Entry* entry = this->FindMutable(aNode, aIncarnation)) {
    entry->contact = Contact::Reachable;
  }
}

void Directory::OnUnreachable(std::string_view aNode,
                              const Id128& aIncarnation) {
  Entry* entry = this->FindMutable(aNode, aIncarnation);
  if (entry != nullptr && entry->contact != Contact::Unreachable) {
    entry->contact = Contact::Unreachable;
    entry->unreachableSince = this->activeTime;
  }
}

std::vector<MemberRef> Directory::RemovalCandidates(TimePoint aNow) {
  if (this->lastCall && aNow > *this->lastCall) {
    this->activeTime += std::min<Duration>(aNow - *this->lastCall, kLongestGap);
  }
  this->lastCall = aNow;
  std::vector<MemberRef> removable;
  size_t reachable = 0;
  size_t unreachable = 0;
  for (const auto& [node, entry] : this->members) {
    if (entry.contact == Contact::Unknown ||
        entry.info.region != this->settings.region) {
      continue;
    }
    if (entry.contact == Contact::Reachable) {
      ++reachable;
      continue;
    }
    ++unreachable;
    if (this->activeTime - entry.unreachableSince >=
        this->settings.removeAfter) {
      removable.push_back(
          {.node = node, .incarnation = entry.info.incarnation});
    }
  }
  if (unreachable > reachable) {
    removable.clear();
  }
  return removable;
}

Directory::Entry* Directory::FindMutable(std::string_view aNode,
                                         const Id128& aIncarnation) {
  const auto found = this->members.find(aNode);
  return found == this->members.end() ||
                 found->second.info.incarnation != aIncarnation
             ? nullptr
             : &found->second;
}

void Directory::AddToService(const MemberInfo& aMember) {
  if (!aMember.service.empty()) {
    this->services[aMember.service].insert(aMember.node);
  }
}

void Directory::RemoveFromService(const MemberInfo& aMember) {
  const auto found = this->services.find(aMember.service);
  if (found == this->services.end()) {
    return;
  }
  found->second.erase(aMember.node);
  if (found->second.empty()) {
    this->services.erase(found);
  }
}

}  // namespace fescueline
