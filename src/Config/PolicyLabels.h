#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "Config/LabelSet.h"
#include "Core/EnumNames.h"
#include "Core/Importance.h"
#include "Core/Time.h"

namespace fescueline {

/// Labels that the system acts on.
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

/// The values of the acting labels that a route or a rule sets.
struct PolicyLabels {
  /// `access` = open.
  std::optional<bool> open;
  /// `importance`.
  std::optional<fescueline::Importance> importance;
  /// `idempotent` = yes.
  std::optional<bool> idempotent;
  /// `deadline`, at most kLongestDeadline.
  std::optional<Duration> deadline;
  /// `retries`, at most kMostRetries.
  std::optional<uint32_t> retries;

  /// Reads the acting labels; others are skipped. Throws ConfigError.
  static PolicyLabels Parse(const LabelSet& aLabels);
  /// Whether the label is set.
  bool Has(PolicyLabel aLabel) const;

  bool operator==(const PolicyLabels&) const = default;
};

inline constexpr uint32_t kMostRetries = 10;
// The outcome of an attempt is kept for 60 s and can be queried for 50 s, so a
// longer deadline could outlive the record of its attempt.
inline constexpr Duration kLongestDeadline = std::chrono::seconds(45);

/// Throws ConfigError unless the label has a valid name and value, including
/// the values of the acting labels.
void CheckLabel(const Label& aLabel);

}  // namespace fescueline
