#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescueline {

/// A decoded record with its name and the version that wrote it.
template <typename R>
struct NamedRecord {
  /// Part of the table key after the prefix of the kind.
  std::string name;
  /// Version of the transaction that wrote the record.
  uint64_t version = 0;
  /// The decoded value.
  R record;
};

/// Change of one record of a RecordTable.
template <typename R>
struct RecordChange {
  /// Name of the record.
  std::string name;
  /// New content; null if the record was deleted.
  std::shared_ptr<const NamedRecord<R>> content;
};

/// Immutable records of one kind, sorted by name. A changed table shares the
/// unchanged records with its predecessor, so a change copies one pointer per
/// record. Thread-safe.
template <typename R>
class RecordTable {
 public:
  using Item = std::shared_ptr<const NamedRecord<R>>;

  RecordTable() = default;
  /// Applies the changes, which must be sorted by name and name each record
  /// once.
  RecordTable(const RecordTable& aBase,
              const std::vector<RecordChange<R>>& aChanges) {
    this->items.reserve(aBase.items.size() + aChanges.size());
    auto old = aBase.items.begin();
    for (const RecordChange<R>& change : aChanges) {
      const auto next =
          std::lower_bound(old, aBase.items.end(), change.name, IsBefore);
      this->items.insert(this->items.end(), old, next);
      old = next;
      if (old != aBase.items.end() && (*old)->name == change.name) {
        ++old;
      }
      if (change.content != nullptr) {
        this->items.push_back(change.content);
      }
    }
    this->items.insert(this->items.end(), old, aBase.items.end());
  }

  /// The record with the name, or null. Valid as long as the table.
  const NamedRecord<R>* Find(std::string_view aName) const {
    const auto position = std::lower_bound(this->items.begin(),
                                           this->items.end(), aName, IsBefore);
    return position != this->items.end() && (*position)->name == aName
               ? position->get()
               : nullptr;
  }

  /// All records in the order of their names.
  const std::vector<Item>& Items() const { return this->items; }

 private:
  static bool IsBefore(const Item& aItem, std::string_view aName) {
    return aItem->name < aName;
  }

  /// Sorted by name, names unique.
  std::vector<Item> items;
};

}  // namespace fescueline
