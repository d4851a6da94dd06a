#pragma once

namespace fescueline {

/// Share of a target's recent requests that the target itself failed, as the
/// node beside it counts them. That node sees all of the target's requests,
/// while each caller sees too few of them to judge a target that fails one in
/// ten. Not thread-safe.
class FailureShare {
 public:
  /// Counts a request that the target has ended.
  void Count(bool aFailed) {
    this->share += kGain * ((aFailed ? 1.0 : 0.0) - this->share);
  }
  /// Failures over requests, 0 to 1.
  double Value() const { return this->share; }

 private:
  /// Weight of one request: a memory of 50, about a second of a target that
  /// serves 50 requests a second.
  static constexpr double kGain = 0.02;

  double share = 0.0;
};

}  // namespace fescueline
