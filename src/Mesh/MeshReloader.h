#pragma once

#include <asio.hpp>
#include <filesystem>
#include <string>

#include "Mesh/MeshNode.h"

namespace fescueline {

/// Reloads the settings file on SIGHUP and when its modification time has
/// changed.
class MeshReloader {
 public:
  MeshReloader(asio::io_context& aIo, std::string aFile, MeshNode& aNode);

  void Start();

 private:
  void WaitForSignal();
  void WaitForChange();
  void Reload();

  std::string file;
  MeshNode& node;
  asio::signal_set signals;
  asio::steady_timer timer;
  std::filesystem::file_time_type changedAt{};
};

}  // namespace fescueline
