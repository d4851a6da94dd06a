#include "Config/PolicyLabels.h"

#include <fmt/format.h>

#include "Config/ConfigError.h"
#include "Settings/Units.h"

namespace fescueline {

namespace {
[[noreturn]] void Fail(PolicyLabel aLabel, std::string_view aAllowed) {
  throw ConfigError(fmt::format("labels.{}", ToName(aLabel)),
                    fmt::format("must be {}", aAllowed));
}

bool ParseChoice(const Label& aLabel, PolicyLabel aWhich, std::string_view aYes,
                 std::string_view aNo) {
  if (aLabel.value != aYes && aLabel.value != aNo) {
    Fail(aWhich, fmt::format("{} or {}", aYes, aNo));
  }
  return aLabel.value == aYes;
}

void ParseInto(PolicyLabels& aPolicy, PolicyLabel aWhich, const Label& aLabel) {
  switch (aWhich) {
    case PolicyLabel::Access:
      aPolicy.open = ParseChoice(aLabel, aWhich, "open", "closed");
      return;
    case PolicyLabel::Idempotent:
      aPolicy.idempotent = ParseChoice(aLabel, aWhich, "yes", "no");
      return;
    case PolicyLabel::Importance:
      aPolicy.importance = FromName<Importance>(aLabel.value);
      if (!aPolicy.importance) {
        Fail(aWhich, "critical, high, normal or low");
      }
      return;
    case PolicyLabel::Deadline:
      aPolicy.deadline = ParseDuration(aLabel.value);
      if (!aPolicy.deadline || *aPolicy.deadline <= Duration::zero() ||
          *aPolicy.deadline > kMaxDeadline) {
        Fail(aWhich, fmt::format("a duration above 0 and at most {}, such as "
                                 "250ms or 4s",
                                 FormatDuration(kMaxDeadline)));
      }
      return;
    case PolicyLabel::Retries: {
      const auto retries = ParseUnsigned(aLabel.value);
      if (!retries || *retries > kMaxRetries) {
        Fail(aWhich, fmt::format("a number from 0 to {}", kMaxRetries));
      }
      aPolicy.retries = static_cast<uint32_t>(*retries);
      return;
    }
  }
}
}  // namespace

PolicyLabels PolicyLabels::Parse(const LabelSet& aLabels) {
  PolicyLabels policy;
  for (const Label& label : aLabels.Items()) {
    if (const auto which = FromName<PolicyLabel>(label.name)) {
      ParseInto(policy, *which, label);
    }
  }
  return policy;
}

bool PolicyLabels::Has(PolicyLabel aLabel) const {
  switch (aLabel) {
    case PolicyLabel::Access:
      return this->open.has_value();
    case PolicyLabel::Importance:
      return this->importance.has_value();
    case PolicyLabel::Idempotent:
      return this->idempotent.has_value();
    case PolicyLabel::Deadline:
      return this->deadline.has_value();
    case PolicyLabel::Retries:
      return this->retries.has_value();
  }
  return false;
}

void CheckLabel(const Label& aLabel) {
  // The name is not repeated in the message, as it may hold control characters.
  if (!IsValidName(aLabel.name)) {
    throw ConfigError("labels", fmt::format("a label name {}", kNameRule));
  }
  if (!IsValidLabelValue(aLabel.value)) {
    throw ConfigError(fmt::format("labels.{}", aLabel.name),
                      fmt::format("{}, or be empty", kNameRule));
  }
  PolicyLabels::Parse(LabelSet{aLabel});
}

}  // namespace fescueline
