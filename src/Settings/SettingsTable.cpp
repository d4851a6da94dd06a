#include "Settings/SettingsTable.h"

#include <fmt/format.h>

namespace fescueline {

namespace {
constexpr bool kRequired = true;
constexpr bool kOptional = false;

// Columns: key, kind, default, required, min, max, description, member.
const SettingSpec kSettings[] = {
    {"node", SettingKind::Name, "", kRequired, "", "",
     "Node id, unique in the fleet.", &NodeSettings::node},
    {"data_centre", SettingKind::Name, "", kRequired, "", "",
     "Data centre of the instance.", &NodeSettings::dataCentre},
    {"region", SettingKind::Name, "", kRequired, "", "",
     "Region of the data centre.", &NodeSettings::region},
    {"listen.callers", SettingKind::Address, "", kRequired, "", "",
     "HTTP listener for callers.", &NodeSettings::listenCallers},
    {"listen.target", SettingKind::Address, "127.0.0.1:7000", kOptional, "", "",
     "HTTP listener for the target beside the node; a loopback address.",
     &NodeSettings::listenTarget},
    {"listen.peers", SettingKind::Address, "", kRequired, "", "",
     "Listener for requests from other nodes.", &NodeSettings::listenPeers},
    {"listen.control", SettingKind::Address, "", kRequired, "", "",
     "Listener for control messages from other nodes.",
     &NodeSettings::listenControl},
    {"listen.admin", SettingKind::Address, "127.0.0.1:7003", kOptional, "", "",
     "HTTP listener for operators, probes and metrics.",
     &NodeSettings::listenAdmin},
    {"advertise.peers", SettingKind::Address, "", kRequired, "", "",
     "Address of the peer listener as other nodes reach it.",
     &NodeSettings::advertisePeers},
    {"advertise.control", SettingKind::Address, "", kRequired, "", "",
     "Address of the control listener as other nodes reach it.",
     &NodeSettings::advertiseControl},
    {"table", SettingKind::Table, "", kRequired, "", "",
     "Table service, or `embedded` for a table in the memory of this node, for "
     "trials with one node.",
     &NodeSettings::table},
    {"seeds", SettingKind::AddressList, "", kOptional, "", "",
     "Control addresses of nodes to learn the configuration from while the "
     "table service is down.",
     &NodeSettings::seeds},
    {"fleet_secret_file", SettingKind::Path, "", kOptional, "", "",
     "File with the secret shared by all nodes, at least 32 characters. "
     "Alternative: environment `FESCUELINE_FLEET_SECRET`.",
     &NodeSettings::fleetSecretFile},
    {"operator_credential_file", SettingKind::Path, "", kOptional, "", "",
     "File with the credential that operators must present, at least 32 "
     "characters. Alternative: environment `FESCUELINE_OPERATOR_CREDENTIAL`. "
     "Without one, the node refuses configuration changes.",
     &NodeSettings::operatorCredentialFile},
    {"workers", SettingKind::Integer, "2", kOptional, "1", "64",
     "Threads that handle requests.", &NodeSettings::workers},
    {"limits.freshness_limit", SettingKind::Duration, "4s", kOptional, "1s",
     "1m",
     "Age of the node's knowledge above which closed routes are refused; the "
     "same on all nodes, 8s at 10,000 nodes.",
     &NodeSettings::freshnessLimit},
    {"limits.refresh_interval", SettingKind::Duration, "250ms", kOptional,
     "50ms", "5s", "Interval between requests for newer configuration.",
     &NodeSettings::refreshInterval},
    {"limits.max_body", SettingKind::Size, "1MiB", kOptional, "1KiB", "1MiB",
     "Largest request body.", &NodeSettings::maxBody},
    {"limits.queue_length", SettingKind::Integer, "256", kOptional, "1",
     "65536", "Requests that may wait for the target.",
     &NodeSettings::queueLength},
    {"limits.attempts", SettingKind::Integer, "4096", kOptional, "64",
     "1048576", "Attempts that are remembered for at-most-once execution.",
     &NodeSettings::attempts},
    {"limits.retry_ratio", SettingKind::Ratio, "0.1", kOptional, "0", "1",
     "Retries that the node sends per first attempt.",
     &NodeSettings::retryRatio},
    {"limits.share_wait", SettingKind::Duration, "50ms", kOptional, "0ms", "1s",
     "Longest wait of a request for a share of its organisation's rate.",
     &NodeSettings::shareWait},
    {"limits.drain_deadline", SettingKind::Duration, "50s", kOptional, "1s",
     "10m", "Longest time that a planned stop waits for requests in flight.",
     &NodeSettings::drainDeadline},
};

std::string_view Article(SettingKind aKind) {
  return aKind == SettingKind::Address ? "an" : "a";
}

std::string_view Example(SettingKind aKind) {
  switch (aKind) {
    case SettingKind::Duration:
      return ", such as 250ms or 4s";
    case SettingKind::Size:
      return ", such as 64KiB or 1MiB";
    case SettingKind::Address:
      return ", such as 10.0.0.1:7001 or [::1]:7001";
    case SettingKind::AddressList:
      return ", such as [10.0.0.1:7001]";
    case SettingKind::Table:
      return " http://host:port without a user name, or embedded";
    case SettingKind::Name:
      return " of 1 to 63 letters, digits, '.', '_' or '-', beginning with a "
             "letter or digit";
    case SettingKind::Path:
      return " of 1 to 4096 characters";
    case SettingKind::Integer:
    case SettingKind::Ratio:
      return "";
  }
  return "";
}
}  // namespace

std::span<const SettingSpec> SettingsTable() { return kSettings; }

std::string DescribeAllowed(const SettingSpec& aSpec) {
  std::string allowed =
      fmt::format("{} {}", Article(aSpec.kind), ToName(aSpec.kind));
  if (!aSpec.min.empty()) {
    allowed += fmt::format(" from {} to {}", aSpec.min, aSpec.max);
  }
  return allowed.append(Example(aSpec.kind));
}

std::string DescribeRow(const SettingSpec& aSpec) {
  const std::string defaultText = aSpec.required ? "required"
                                  : aSpec.defaultValue.empty()
                                      ? "none"
                                      : fmt::format("`{}`", aSpec.defaultValue);
  const std::string range =
      aSpec.min.empty() ? "" : fmt::format("{} to {}", aSpec.min, aSpec.max);
  return fmt::format("| `{}` | {} | {} | {} | {} |", aSpec.key,
                     ToName(aSpec.kind), defaultText, range, aSpec.description);
}

}  // namespace fescueline
