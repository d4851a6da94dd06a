#pragma once

#include <memory>
#include <string>
#include <vector>

#include "Node/Node.h"
#include "StandInTarget.h"

namespace fescueline {

/// Several nodes with stand-in targets in one process over an embedded table,
/// for tests, benchmarks and the demo. Not thread-safe.
class EmbeddedFleet {
 public:
  /// One instance: a node and the target beside it.
  struct InstanceSettings {
    std::string service;
    std::string dataCentre = "dc1";
    StandInTarget::Settings target;
  };

  struct Settings {
    std::vector<InstanceSettings> instances;
    Duration freshnessLimit = std::chrono::seconds(1);
    uint64_t workers = 2;
    /// Limits of the targets' queues.
    uint64_t queueLength = 256;
  };

  /// Response to one HTTP request.
  struct Response {
    int status = 0;
    HttpHeaders headers;
    std::string body;
    /// Whether the whole body arrived.
    bool complete = false;
  };

  explicit EmbeddedFleet(const Settings& aSettings);
  EmbeddedFleet(const EmbeddedFleet&) = delete;
  EmbeddedFleet& operator=(const EmbeddedFleet&) = delete;
  ~EmbeddedFleet();

  /// Waits until all nodes are ready and know all targets; false on timeout.
  bool WaitReady(Duration aLimit);
  /// Sends an operator's request to a node's admin listener.
  Response CallAdmin(const std::string& aMethod, const std::string& aPath,
                     const std::string& aBody, size_t aNode = 0);
  /// Creates an organisation and waits until it is in force on all nodes.
  /// Throws Error if that fails, as do GrantKey and CreateRoute.
  void CreateOrganisation(const std::string& aName, double aRate,
                          double aBurst);
  /// Grants a key and returns it.
  std::string GrantKey(const std::string& aOrganisation);
  /// Creates a route for a path prefix; aLabels is a JSON object.
  void CreateRoute(const std::string& aName, const std::string& aService,
                   const std::string& aPrefix,
                   const std::string& aLabels = "{}");
  /// Sends a caller's request to a node.
  Response Call(size_t aNode, HttpTransferRequest aRequest);
  /// URL of a node's listener for callers.
  std::string CallerUrl(size_t aNode) const;

  size_t Size() const { return this->nodes.size(); }
  Node& At(size_t aNode) { return *this->nodes[aNode]; }
  StandInTarget& TargetAt(size_t aNode) { return *this->targets[aNode]; }
  /// Planned stop of a node; true if no request was aborted.
  bool StopNode(size_t aNode);
  HttpClient& Client() { return this->client; }

  /// Performs a request and waits for its end.
  static Response Fetch(HttpClient& aClient, HttpTransferRequest aRequest);

 private:
  /// Waits until a condition holds; false on timeout.
  template <typename Condition>
  static bool WaitFor(Duration aLimit, Condition aCondition);

  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<StandInTarget>> targets;
  HttpClient client;
};

}  // namespace fescueline
