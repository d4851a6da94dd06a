#include "Mesh/MeshReloader.h"

#include <csignal>

#include "Core/Error.h"
#include "Log/Log.h"

namespace fescueline {

namespace {
/// Interval at which the file is polled; a change without a signal is rare.
constexpr Duration kPollPeriod = std::chrono::seconds(2);

std::filesystem::file_time_type ChangeTime(const std::string& aFile) {
  std::error_code error;
  const auto time = std::filesystem::last_write_time(aFile, error);
  // On an error the file is being replaced; the next poll sees the new one.
  return error ? std::filesystem::file_time_type{} : time;
}
}  // namespace

MeshReloader::MeshReloader(asio::io_context& aIo, std::string aFile,
                           MeshNode& aNode)
    : file(std::move(aFile)),
      node(aNode),
      signals(aIo, SIGHUP),
      timer(aIo),
      changedAt(ChangeTime(this->file)) {}

void MeshReloader::Start() {
  this->WaitForSignal();
  this->WaitForChange();
}

void MeshReloader::WaitForSignal() {
  this->signals.async_wait([this](const asio::error_code& aError, int) {
    if (!aError) {
      this->Reload();
      this->WaitForSignal();
    }
  });
}

void MeshReloader::WaitForChange() {
  this->timer.expires_after(kPollPeriod);
  this->timer.async_wait([this](const asio::error_code& aError) {
    if (aError) {
      return;
    }
    if (ChangeTime(this->file) != this->changedAt) {
      this->Reload();
    }
    this->WaitForChange();
  });
}

void MeshReloader::Reload() {
  this->changedAt = ChangeTime(this->file);
  try {
    this->node.Reload(LoadMeshSettings(this->file));
  } catch (const std::exception& failure) {
    Log(LogLevel::Error, "settings not reloaded",
        {{"file", this->file}, {"error", std::string(failure.what())}});
  }
}

}  // namespace fescueline
