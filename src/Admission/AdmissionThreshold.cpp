#include "Admission/AdmissionThreshold.h"

#include <algorithm>
#include <cmath>

namespace fescueline {

uint16_t RootHash(const Id128& aRootId) {
  // SplitMix64 finaliser: root ids from other generators may not be uniform in
  // their low bits.
  uint64_t mixed = aRootId.high ^ (aRootId.low * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31;
  return static_cast<uint16_t>(mixed % AdmissionThreshold::kFullCutoff);
}

bool AdmissionThreshold::Admits(Importance aImportance,
                                uint16_t aRootHash) const {
  if (aImportance != this->importance) {
    return aImportance < this->importance;
  }
  return aRootHash < this->cutoff;
}

double AdmissionThreshold::Level() const {
  return static_cast<double>(this->importance) +
         static_cast<double>(this->cutoff) / kFullCutoff;
}

AdmissionThreshold AdmissionThreshold::FromLevel(double aLevel) {
  const double level =
      std::clamp(aLevel, 0.0, static_cast<double>(kImportanceClasses));
  const double whole =
      std::min(std::floor(level), static_cast<double>(kImportanceClasses - 1));
  return AdmissionThreshold{
      .importance = static_cast<Importance>(static_cast<uint8_t>(whole)),
      .cutoff =
          static_cast<uint16_t>(std::lround((level - whole) * kFullCutoff))};
}

}  // namespace fescueline
