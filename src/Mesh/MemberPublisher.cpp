#include "Mesh/MemberPublisher.h"

#include "Core/RandomSource.h"
#include "Log/Log.h"

namespace fescueline {

namespace {
/// Mean pause after a failed write. Members must be back within 2 s of the
/// store's recovery.
constexpr Duration kWritePause = std::chrono::milliseconds(500);
}  // namespace

MemberPublisher::MemberPublisher(Settings aSettings)
    : settings(std::move(aSettings)),
      key(std::string(kMeshMemberPrefix) + this->settings.record.node),
      value(EncodeMeshMember(this->settings.record)) {}

void MemberPublisher::OnRow(const StoredRow& aRow) {
  if (!aRow.removed && aRow.version < this->version) {
    return;
  }
  this->version = aRow.removed ? 0 : aRow.version;
  this->published = !aRow.removed && aRow.value == this->value;
}

void MemberPublisher::Tick() {
  const BootTime now = BootClock::now();
  if (this->published || this->writing || this->left || now < this->nextWrite) {
    return;
  }
  this->writing = true;
  this->settings.store.Write(
      {.table = this->settings.table,
       .key = this->key,
       .expected = this->version,
       .value = this->value},
      [this](const StoreReply& aReply) {
        this->writing = false;
        if (aReply.status == StoreStatus::Done) {
          this->version = aReply.version;
          this->published = true;
        }
        if (aReply.status == StoreStatus::Conflict) {
          if (aReply.rows.empty()) {
            this->OnAbsent();
          }
          for (const StoredRow& row : aReply.rows) {
            this->OnRow(row);
          }
        }
        if (this->left) {
          this->Remove();
          return;
        }
        if (aReply.status == StoreStatus::Done) {
          return;
        }
        this->nextWrite =
            aReply.status == StoreStatus::Conflict
                ? BootClock::now()
                : BootClock::now() +
                      FromSeconds(ToSeconds(kWritePause) *
                                  (0.5 + ThreadRandom().NextDouble()));
        Log(LogLevel::Info, "member row not written",
            {{"status", std::string(ToName(aReply.status))},
             {"row_version", std::to_string(this->version)}});
      });
}

void MemberPublisher::Leave(std::function<void()> aDone) {
  this->left = true;
  this->onLeft = std::move(aDone);
  // A write in progress would make the removal fail; the handler of its reply
  // removes the row.
  if (!this->writing) {
    this->Remove();
  }
}

void MemberPublisher::Remove() {
  if (this->version == 0) {
    this->onLeft();
    return;
  }
  this->settings.store.Write(
      {.table = this->settings.table,
       .key = this->key,
       .expected = this->version,
       .value = std::nullopt},
      [this](const StoreReply& aReply) {
        if (aReply.status != StoreStatus::Done) {
          // Other nodes remove the row once this node is unreachable.
          Log(LogLevel::Warning, "member row not removed",
              {{"status", std::string(ToName(aReply.status))}});
        }
        this->onLeft();
      });
}

}  // namespace fescueline
