#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Core/Time.h"
#include "Settings/Secret.h"
#include "Settings/SocketAddress.h"

namespace fescueline {

/// Settings of one node, as loaded from its file. The comment of a member
/// names its settings key; units, defaults and ranges are in SettingsTable.
/// Immutable after loading.
struct NodeSettings {
  /// `node`
  std::string node;
  /// `data_centre`
  std::string dataCentre;
  /// `region`
  std::string region;

  /// `listen.callers`
  SocketAddress listenCallers;
  /// `listen.target`
  SocketAddress listenTarget;
  /// `listen.peers`
  SocketAddress listenPeers;
  /// `listen.control`
  SocketAddress listenControl;
  /// `listen.admin`
  SocketAddress listenAdmin;
  /// `advertise.peers`
  SocketAddress advertisePeers;
  /// `advertise.control`
  SocketAddress advertiseControl;

  /// `table`: URL of the table service or "embedded".
  std::string table;
  /// `seeds`
  std::vector<SocketAddress> seeds;
  /// `fleet_secret_file`
  std::string fleetSecretFile;
  /// `operator_credential_file`
  std::string operatorCredentialFile;
  /// Content of the file or of FESCUELINE_FLEET_SECRET.
  Secret fleetSecret;
  /// Content of the file or of FESCUELINE_OPERATOR_CREDENTIAL; empty if
  /// operators cannot change the configuration through this node.
  Secret operatorCredential;

  /// `workers`
  uint64_t workers = 0;
  /// `limits.freshness_limit`
  Duration freshnessLimit{};
  /// `limits.refresh_interval`
  Duration refreshInterval{};
  /// `limits.max_body`
  uint64_t maxBody = 0;
  /// `limits.queue_length`
  uint64_t queueLength = 0;
  /// `limits.attempts`
  uint64_t attempts = 0;
  /// `limits.retry_ratio`
  double retryRatio = 0;
  /// `limits.share_wait`
  Duration shareWait{};
  /// `limits.drain_deadline`
  Duration drainDeadline{};

  /// Whether the table is kept in the memory of this node.
  bool IsTableEmbedded() const { return this->table == "embedded"; }
};

}  // namespace fescueline
