#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "Process/ChildProcess.h"
#include "Transport/HttpClient.h"

namespace fescueline::test {

/// Response to one request.
struct Reply {
  /// HTTP status; 0 if no response head arrived.
  int status = 0;
  HttpHeaders headers;
  std::string body;
  /// How the transfer ended.
  HttpTransferResult result;

  /// Value of a header, or an empty string.
  std::string Header(std::string_view aName) const;
  /// "not-run", "unknown" or "ran".
  std::string Outcome() const { return this->Header("fescueline-outcome"); }
  std::string Cause() const { return this->Header("fescueline-cause"); }
  nlohmann::json Json() const;
};

/// Open and completed requests by the work id under which targets count
/// executions. Thread-safe.
class CallSeries {
 public:
  /// Starts a request with `x-work-id: aWorkId`.
  void Start(HttpClient& aClient, const std::string& aWorkId,
             HttpTransferRequest aRequest);
  /// Waits until all are done; false on timeout.
  bool WaitAll(Duration aLimit);
  /// Replies to the completed requests.
  std::map<std::string, Reply> Replies();

 private:
  struct State;
  std::shared_ptr<State> state = MakeState();
  static std::shared_ptr<State> MakeState();
};

/// Waits until the condition holds; false on timeout.
bool WaitFor(Duration aLimit, const std::function<bool()>& aCondition);

/// A fleet of processes on loopback: the table stand-in, and for each instance
/// a node and a target stand-in. Everything is killed at the end. Not
/// thread-safe.
class ProcessFleet {
 public:
  /// One instance.
  struct Instance {
    /// Service of the target.
    std::string service = "fees";
    /// Further arguments of the target stand-in.
    std::vector<std::string> targetArguments;
  };

  struct Settings {
    std::vector<Instance> instances = std::vector<Instance>(3);
    /// Short, so that changes are accepted quickly.
    std::string freshnessLimit = "1s";
  };

  explicit ProcessFleet(Settings aSettings);
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;
  ~ProcessFleet();

  /// Waits until every node is ready, is a voucher and knows all targets.
  /// Fleets have at most five nodes, the largest number of vouchers.
  bool WaitReady(Duration aLimit = std::chrono::seconds(30));
  /// Starts or restarts a node with its settings; its target keeps running.
  void StartNode(size_t aNode);
  void StartTarget(size_t aTarget);
  ChildProcess& Node(size_t aNode) { return this->nodes[aNode].process; }
  ChildProcess& Target(size_t aTarget) { return this->nodes[aTarget].target; }

  /// Sends an operator's request to a node's admin listener. aVersion is sent
  /// as If-Match.
  Reply CallAdmin(const std::string& aMethod, const std::string& aPath,
                  const std::string& aBody, size_t aNode = 0,
                  const std::string& aVersion = "0");
  /// Returns an operator's request without sending it, for CallSeries.
  HttpTransferRequest OperatorRequest(const std::string& aMethod,
                                      const std::string& aPath,
                                      const std::string& aBody, size_t aNode,
                                      const std::string& aVersion) const;
  /// Creates an organisation with a key and returns the key. Throws Error if
  /// the fleet does not accept them.
  std::string CreateCaller(const std::string& aOrganisation, double aRate,
                           double aBurst);
  /// Creates a route /NAME; aLabels is a JSON object.
  void CreateRoute(const std::string& aName, const std::string& aService,
                   const std::string& aLabels = "{}");
  std::string KeyId(const std::string& aKey) const {
    return this->keyIds.at(aKey);
  }
  /// Waits until the fleet is ready and every node serves the path /fees for a
  /// caller of a new organisation. Returns the caller's key, or an empty string
  /// on timeout.
  std::string ServeFees();
  /// Waits until a node serves requests with the key.
  bool WaitServed(size_t aNode, const std::string& aKey,
                  const std::string& aPath,
                  Duration aLimit = std::chrono::seconds(30));
  /// Sets faults of the table stand-in.
  void SetTableFault(const std::string& aJson);

  /// Sends a caller's request; aRequest.url is the path.
  Reply Call(size_t aNode, HttpTransferRequest aRequest);
  std::string CallerUrl(size_t aNode) const;
  uint16_t CallerPort(size_t aNode) const;
  /// Sends a request to a target's control endpoint.
  Reply CallTarget(size_t aTarget, const std::string& aMethod,
                   const std::string& aPath, const std::string& aBody = "");
  /// Counts of an event in a target's journal by work id, including entries of
  /// killed processes.
  std::map<std::string, uint64_t> Journal(size_t aTarget,
                                          const std::string& aEvent) const;
  /// Executions by work id at all targets.
  std::map<std::string, uint64_t> Executions() const;
  /// Total number of executions.
  uint64_t ExecutionCount() const;
  HttpClient& Client() { return this->client; }
  size_t Size() const { return this->nodes.size(); }

 private:
  /// One instance's processes and ports.
  struct Member {
    Instance instance;
    uint16_t callers = 0;
    uint16_t local = 0;
    uint16_t peers = 0;
    uint16_t control = 0;
    uint16_t admin = 0;
    ChildProcess process;
    ChildProcess target;
  };

  Reply Fetch(HttpTransferRequest aRequest);
  std::string File(const std::string& aName) const;
  void WriteSettings(size_t aNode);

  Settings settings;
  /// Temporary folder with settings, logs and journals.
  std::string folder;
  uint16_t tablePort = 0;
  ChildProcess table;
  std::vector<Member> nodes;
  std::map<std::string, std::string> keyIds;
  HttpClient client;
};

/// Header with a caller's key.
HttpHeaders Bearer(const std::string& aKey);

}  // namespace fescueline::test
