#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "Config/LabelSet.h"
#include "Core/EnumNames.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// Labels that set how a request is handled. All other labels only serve
/// selectors.
enum class PolicyLabel : uint8_t {
  Access,
  Importance,
  Idempotent,
  Deadline,
  Retries
};

inline constexpr size_t kPolicyLabels = 5;

template <>
struct EnumNames<PolicyLabel> {
  static constexpr std::array<EnumName<PolicyLabel>, kPolicyLabels> kNames{
      {{PolicyLabel::Access, "access"},
       {PolicyLabel::Importance, "importance"},
       {PolicyLabel::Idempotent, "idempotent"},
       {PolicyLabel::Deadline, "deadline"},
       {PolicyLabel::Retries, "retries"}}};
};

/// Values of the policy labels that a route or a rule sets.
struct PolicyLabels {
  /// `access`: true for `open`, false for `closed`.
  std::optional<bool> open;
  /// `importance`.
  std::optional<fescueline::Importance> importance;
  /// `idempotent`: true for `yes`, false for `no`.
  std::optional<bool> idempotent;
  /// `deadline`, at most kMaxDeadline.
  std::optional<Duration> deadline;
  /// `retries`, at most kMaxRetries.
  std::optional<uint32_t> retries;

  /// Parses the policy labels and skips others. Throws ConfigError if a value
  /// is invalid.
  static PolicyLabels Parse(const LabelSet& aLabels);
  bool Has(PolicyLabel aLabel) const;

  bool operator==(const PolicyLabels&) const = default;
};

inline constexpr uint32_t kMaxRetries = 10;
// The outcome of an attempt is kept for 60 s and can be queried for 50 s, so a
// longer deadline could outlive the record of its attempt.
inline constexpr Duration kMaxDeadline = std::chrono::seconds(45);

/// Throws ConfigError unless the label has a valid name and value. The value of
/// a policy label must also be one that PolicyLabels::Parse accepts.
void CheckLabel(const Label& aLabel);

}  // namespace fescueline
