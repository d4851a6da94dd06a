#include "Faults.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "Core/Error.h"

namespace fescueline {

namespace {

/// Capacity of the token bucket, in seconds of the rate.
constexpr double kBurstSeconds = 0.25;

using Json = nlohmann::json;

[[noreturn]] void Reject(std::string_view aMessage) {
  throw Error("stand-in.control", "", aMessage);
}

uint64_t ToCount(const Json& aValue) {
  if (!aValue.is_number_unsigned()) {
    Reject("expected an unsigned integer");
  }
  return aValue.get<uint64_t>();
}

double ToRate(const Json& aValue) {
  if (!aValue.is_number() || aValue.get<double>() <= 0) {
    Reject("expected a positive number");
  }
  return aValue.get<double>();
}

void ApplyField(Faults& aFaults, const std::string& aName, const Json& aValue) {
  if (aName == "down") {
    if (!aValue.is_boolean()) {
      Reject("expected a boolean");
    }
    aFaults.down = aValue.get<bool>();
  } else if (aName == "slow") {
    aFaults.delay = std::chrono::milliseconds(ToCount(aValue));
  } else if (aName == "lose_answers") {
    aFaults.loseResponses = ToCount(aValue);
  } else if (aName == "lose_requests") {
    aFaults.loseRequests = ToCount(aValue);
  } else if (aName == "writes_per_second") {
    aFaults.writes.Set(ToRate(aValue));
  } else if (aName == "reads_per_second") {
    aFaults.reads.Set(ToRate(aValue));
  } else {
    Reject(fmt::format("unknown field \"{}\"", aName));
  }
}

}  // namespace

bool CallRate::Admit(TimePoint aNow) {
  const double capacity = std::max(1.0, this->perSecond * kBurstSeconds);
  const double refill = ToSeconds(aNow - this->updated) * this->perSecond;
  this->available = std::min(capacity, this->available + refill);
  this->updated = aNow;
  if (this->available < 1) {
    return false;
  }
  this->available -= 1;
  return true;
}

void Faults::Apply(std::string_view aJson) {
  const Json json = Json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    Reject("expected a JSON object");
  }
  Faults changed = *this;
  for (const auto& [name, value] : json.items()) {
    ApplyField(changed, name, value);
  }
  *this = changed;
}

std::string StandInStats::ToJson() const {
  return Json{{"reads", this->reads},
              {"writes", this->writes},
              {"conflicts", this->conflicts},
              {"throttled", this->throttled},
              {"refused", this->refused},
              {"rejected", this->rejected},
              {"answers_lost", this->responsesLost},
              {"requests_lost", this->requestsLost}}
      .dump();
}

}  // namespace fescueline
