#include "Node/NodeStatus.h"

namespace fescueline {

NodeStatus::NodeStatus(Dependencies aDependencies)
    : dependencies(std::move(aDependencies)) {}

bool NodeStatus::IsReady() {
  return this->dependencies.freshness.IsFresh(SteadyClock().Now()) &&
         this->dependencies.maintenance.IsRegistered() &&
         !this->dependencies.stopping;
}

std::string NodeStatus::NotReadyReason() {
  if (this->dependencies.stopping) {
    return "stopping";
  }
  const TimePoint now = SteadyClock().Now();
  if (!this->dependencies.freshness.Age(now)) {
    return "waiting for the table service";
  }
  return this->dependencies.freshness.IsFresh(now)
             ? "waiting for the member record"
             : "configuration is too old";
}

nlohmann::json NodeStatus::ToJson() {
  const TimePoint now = SteadyClock().Now();
  const auto age = this->dependencies.freshness.Age(now);
  nlohmann::json members = nlohmann::json::array();
  const auto snapshot = this->dependencies.config.Snapshot();
  for (const auto& member : snapshot->Members().Items()) {
    members.push_back({{"node", member->name},
                       {"service", member->record.service},
                       {"data_centre", member->record.dataCentre},
                       {"incarnation", member->record.incarnation.ToString()}});
  }
  return {
      {"node", this->dependencies.self.nodeId},
      {"incarnation", this->dependencies.self.incarnation.ToString()},
      {"ready", this->IsReady()},
      {"knowledge_age_s", age ? ToSeconds(*age) : -1.0},
      {"target",
       {{"service", this->dependencies.target.Service()},
        {"state", std::string(ToName(this->dependencies.target.State(now)))},
        {"in_flight", this->dependencies.target.InFlight()},
        {"limit", this->dependencies.target.Limit()},
        {"queued", this->dependencies.target.Queued()}}},
      {"vouchers", snapshot->Vouchers().nodes},
      {"vouchers_changing", !snapshot->Vouchers().previous.empty()},
      {"members", members}};
}

void NodeStatus::PublishGauges() {
  const auto age = this->dependencies.freshness.Age(SteadyClock().Now());
  this->dependencies.metrics.SetGauge("knowledge_age_seconds",
                                      age ? ToSeconds(*age) : -1);
  this->dependencies.metrics.SetGauge(
      "config_version",
      static_cast<double>(this->dependencies.config.Version()));
  this->dependencies.metrics.SetGauge("target_in_flight",
                                      this->dependencies.target.InFlight());
  this->dependencies.metrics.SetGauge("target_limit",
                                      this->dependencies.target.Limit());
  this->dependencies.metrics.SetGauge(
      "target_queued", static_cast<double>(this->dependencies.target.Queued()));
  this->dependencies.metrics.SetGauge(
      "known_targets", static_cast<double>(this->dependencies.fleet.Targets()));
  this->dependencies.metrics.SetGauge(
      "control_bytes_sent",
      static_cast<double>(this->dependencies.control.BytesSent()));
  this->dependencies.metrics.SetGauge(
      "control_bytes_received",
      static_cast<double>(this->dependencies.control.BytesReceived()));
}

}  // namespace fescueline
