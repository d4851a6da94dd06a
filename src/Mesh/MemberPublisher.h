#pragma once

#include <asio.hpp>
#include <functional>
#include <string>

#include "Core/BootClock.h"
#include "Mesh/MeshMember.h"
#include "Mesh/RowStore.h"

namespace fescueline {

/// Keeps this node's row in the store. Writes are conditional on the version
/// that was last seen, so that a write whose answer was lost cannot undo a
/// later one. Runs on the loop.
class MemberPublisher {
 public:
  /// Construction parameters.
  struct Settings {
    asio::io_context& io;
    RowStore& store;
    std::string table;
    MeshMember record;
  };

  explicit MemberPublisher(Settings aSettings);

  /// The row changed, was removed, or is absent (version 0).
  void OnRow(const StoredRow& aRow);
  /// The table has no such row.
  void OnAbsent() { this->OnRow({.key = this->key, .removed = true}); }
  /// Writes the row if it is not as it should be; call every 300 ms.
  void Tick();
  /// Removes the row for good; aDone runs when the store has answered.
  void Leave(std::function<void()> aDone);
  const std::string& Key() const { return this->key; }

 private:
  /// Removes the row if there is one.
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
  /// Told when the store has answered the removal.
  std::function<void()> onLeft;
};

}  // namespace fescueline
