#include "Retry/RetryRatio.h"

#include <algorithm>
#include <cassert>

namespace fescueline {

RetryRatio::RetryRatio(const RetryRatioSettings& aSettings)
    : settings(aSettings), bucketLength(aSettings.window / kBuckets) {
  assert(this->bucketLength > Duration::zero());
}

void RetryRatio::OnFirstAttempt(TimePoint aNow) {
  this->Advance(aNow);
  ++this->buckets[this->current].firstAttempts;
  ++this->total.firstAttempts;
}

bool RetryRatio::TryRetry(TimePoint aNow, double aShare) {
  this->Advance(aNow);
  if (static_cast<double>(this->total.retries + 1) >
      this->Allowance() * aShare) {
    return false;
  }
  ++this->buckets[this->current].retries;
  ++this->total.retries;
  return true;
}

void RetryRatio::OnRetry(TimePoint aNow) {
  this->Advance(aNow);
  ++this->buckets[this->current].retries;
  ++this->total.retries;
}

double RetryRatio::Utilisation(TimePoint aNow) {
  this->Advance(aNow);
  return static_cast<double>(this->total.retries) / this->Allowance();
}

void RetryRatio::Advance(TimePoint aNow) {
  if (aNow < this->start + this->bucketLength) {
    return;
  }
  const auto passed =
      static_cast<uint64_t>((aNow - this->start) / this->bucketLength);
  this->start += this->bucketLength * passed;
  for (uint64_t i = 0; i < std::min<uint64_t>(passed, kBuckets); ++i) {
    this->current = (this->current + 1) % kBuckets;
    this->total.firstAttempts -= this->buckets[this->current].firstAttempts;
    this->total.retries -= this->buckets[this->current].retries;
    this->buckets[this->current] = Bucket{};
  }
}

double RetryRatio::Allowance() const {
  return std::max(
      static_cast<double>(this->settings.floor),
      this->settings.ratio * static_cast<double>(this->total.firstAttempts));
}

}  // namespace fescueline
