#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/MeshMember.h"
#include "Mesh/RowStore.h"

namespace fescueline {

/// Maintains this node's row in the store. Writes are conditional on the last
/// known version, so that a write whose reply was lost cannot overwrite a later
/// one. Runs on the event loop.
class MemberPublisher {
 public:
  struct Settings {
    asio::io_context& io;
    RowStore& store;
    std::string table;
    MeshMember record;
  };

  explicit MemberPublisher(Settings aSettings);

  /// Handles a changed, removed or absent (version 0) row.
  void OnRow(const StoredRow& aRow);
  /// Handles a table without the row.
  void OnAbsent() { this->OnRow({.key = this->key, .removed = true}); }
  /// Writes the row if it is missing or outdated. Call every 300 ms.
  void Tick();
  /// Removes the row permanently; aDone runs when the store has replied.
  void Leave(std::function<void()> aDone);
  /// Whether the row at the store is the current one.
  bool IsPublished() const { return this->published; }
  const std::string& Key() const { return this->key; }

 private:
  /// Removes the row if it exists.
  void Remove();

  Settings settings;
  std::string key;
  std::string value;
  /// Version of the row at the store; 0 if it does not exist.
  uint64_t version = 0;
  bool published = false;
  bool writing = false;
  bool left = false;
  BootTime nextWrite{};
  /// Runs when the store has replied to the removal.
  std::function<void()> onLeft;
};

}  // namespace fescueline
