#include "Transport/RequestContext.h"

#include <msgpack.hpp>

#include "Core/BoundedMsgPack.h"
#include "Core/Digest.h"

namespace fescueline {

namespace {
constexpr uint32_t kMaxDepth = 64;

/// Wire format. Uses plain integers, which IsValid checks before conversion.
struct ContextWire {
  std::string organisation;
  std::string keyHash;
  uint64_t rootHigh = 0;
  uint64_t rootLow = 0;
  uint64_t attemptHigh = 0;
  uint64_t attemptLow = 0;
  std::string route;
  std::string service;
  uint8_t importance = 0;
  bool idempotent = false;
  bool open = false;
  int64_t remainingMicroseconds = 0;
  int64_t ageMicroseconds = 0;
  uint64_t configVersion = 0;
  uint64_t allocationVersion = 0;
  uint32_t depth = 0;
  bool isRetry = false;

  MSGPACK_DEFINE_ARRAY(organisation, keyHash, rootHigh, rootLow, attemptHigh,
                       attemptLow, route, service, importance, idempotent, open,
                       remainingMicroseconds, ageMicroseconds, configVersion,
                       allocationVersion, depth, isRetry)
};

ContextWire ToWire(const RequestContext& aContext) {
  return ContextWire{
      .organisation = aContext.organisation,
      .keyHash = aContext.keyHash,
      .rootHigh = aContext.rootId.high,
      .rootLow = aContext.rootId.low,
      .attemptHigh = aContext.attemptId.high,
      .attemptLow = aContext.attemptId.low,
      .route = aContext.route,
      .service = aContext.service,
      .importance = static_cast<uint8_t>(aContext.importance),
      .idempotent = aContext.idempotent,
      .open = aContext.open,
      .remainingMicroseconds =
          std::chrono::duration_cast<std::chrono::microseconds>(
              aContext.remaining)
              .count(),
      .ageMicroseconds =
          std::chrono::duration_cast<std::chrono::microseconds>(aContext.age)
              .count(),
      .configVersion = aContext.configVersion,
      .allocationVersion = aContext.allocationVersion,
      .depth = aContext.depth,
      .isRetry = aContext.isRetry};
}

RequestContext FromWire(const ContextWire& aWire) {
  return RequestContext{
      .organisation = aWire.organisation,
      .keyHash = aWire.keyHash,
      .rootId = {.high = aWire.rootHigh, .low = aWire.rootLow},
      .attemptId = {.high = aWire.attemptHigh, .low = aWire.attemptLow},
      .route = aWire.route,
      .service = aWire.service,
      .importance = static_cast<Importance>(aWire.importance),
      .idempotent = aWire.idempotent,
      .open = aWire.open,
      .remaining = std::chrono::microseconds(aWire.remainingMicroseconds),
      .age = std::chrono::microseconds(aWire.ageMicroseconds),
      .configVersion = aWire.configVersion,
      .allocationVersion = aWire.allocationVersion,
      .depth = aWire.depth,
      .isRetry = aWire.isRetry};
}

bool IsValid(const ContextWire& aWire) {
  constexpr int64_t kMaxRemaining = 3'600'000'000;  // one hour
  return aWire.importance < kImportanceClasses && aWire.depth <= kMaxDepth &&
         aWire.remainingMicroseconds >= 0 && aWire.ageMicroseconds >= 0 &&
         aWire.ageMicroseconds <= kMaxRemaining &&
         aWire.remainingMicroseconds <= kMaxRemaining;
}
}  // namespace

std::string SignContext(const RequestContext& aContext,
                        std::string_view aSecret) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, ToWire(aContext));
  const std::string_view bytes(buffer.data(), buffer.size());
  return ToBase64Url(bytes) + "." +
         ToBase64Url(AsBytes(HmacSha256(aSecret, bytes)));
}

std::optional<RequestContext> VerifyContext(std::string_view aToken,
                                            std::string_view aSecret) {
  const size_t dot = aToken.find('.');
  if (aToken.size() > kMaxContextToken || dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto bytes = FromBase64Url(aToken.substr(0, dot));
  const auto signature = FromBase64Url(aToken.substr(dot + 1));
  if (!bytes || !signature ||
      !EqualConstantTime(AsBytes(HmacSha256(aSecret, *bytes)), *signature)) {
    return std::nullopt;
  }
  try {
    ContextWire wire;
    UnpackBounded(*bytes, {.maxBytes = kMaxContextToken}).get().convert(wire);
    if (!IsValid(wire)) {
      return std::nullopt;
    }
    return FromWire(wire);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace fescueline
