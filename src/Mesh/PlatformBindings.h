#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Mesh/ConfigHolder.h"
#include "Mesh/HeaderNames.h"
#include "Mesh/LocalTargetState.h"
#include "Mesh/RowStore.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// Kind of a request on the report listener.
enum class ReportKind : uint8_t {
  /// The target reports its state.
  Report,
  /// The target deregisters.
  Leave,
  /// The request is malformed.
  Malformed,
  /// The path or method is unknown.
  Unknown
};

/// A decoded request on the report listener.
struct ReportCall {
  ReportKind kind = ReportKind::Unknown;
  TargetReportMessage report;
  /// For Leave: start time of the process that leaves, if given.
  std::optional<uint64_t> startedAt;
  /// For Malformed: what is wrong.
  std::string problem;
};

/// Platform-specific parts of a mesh node: header names, decoders and the
/// store. Supplied by the platform adapter.
struct PlatformBindings {
  HeaderNames headers;
  std::unique_ptr<RowStore> store;
  /// Table and key of the operator's configuration in the store.
  std::string configTable;
  std::string configKey;
  ConfigHolder::Decoder decodeConfig;
  std::function<ReportCall(const HttpRequest&)> decodeReport;
  /// Response that acknowledges a report.
  HttpResponse reportAcknowledgement;
  /// Path of the readiness check.
  std::string readyPath;
};

}  // namespace fescueline
