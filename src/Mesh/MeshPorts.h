#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Mesh/ConfigHolder.h"
#include "Mesh/HeaderVocabulary.h"
#include "Mesh/LocalTargetState.h"
#include "Mesh/RowStore.h"
#include "Transport/HttpMessage.h"

namespace fescueline {

/// What a call on the listener for reports asks for.
enum class ReportKind : uint8_t {
  /// A target's report of its state.
  Report,
  /// A target leaves for good.
  Leave,
  /// Malformed: changes nothing.
  Malformed,
  /// No such call.
  Unknown
};

/// A decoded call on the listener for reports.
struct ReportCall {
  ReportKind kind = ReportKind::Unknown;
  TargetReportMessage report;
  /// For Leave: the process that leaves, if the call says so.
  std::optional<uint64_t> startedAt;
};

/// Where a mesh node meets the platform: names, codecs and the store. Filled
/// in by the platform's adapter.
struct MeshPorts {
  HeaderVocabulary headers;
  std::unique_ptr<RowStore> store;
  /// Table and key under which the operator keeps the configuration.
  std::string configTable;
  std::string configKey;
  ConfigHolder::Decoder decodeConfig;
  std::function<ReportCall(const HttpRequest&)> decodeReport;
  /// Body of the acknowledgement of a report.
  HttpResponse reportAcknowledgement;
  /// Path of the question for readiness.
  std::string readyPath;
};

}  // namespace fescueline
