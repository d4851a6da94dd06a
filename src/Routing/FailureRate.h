#pragma once

namespace fescueline {

/// Moving average of a target's failure rate, measured by the node beside it.
/// That node sees all requests of the target, while each caller sees too few to
/// detect a target that fails one request in ten. Not thread-safe.
class FailureRate {
 public:
  /// Records a request that the target has completed or failed.
  void Record(bool aFailed) {
    this->rate += kGain * ((aFailed ? 1.0 : 0.0) - this->rate);
  }
  /// Failure rate, 0 to 1.
  double Value() const { return this->rate; }

 private:
  /// Weight of one request. It averages over about 50 requests: one second of
  /// a target that serves 50 requests per second.
  static constexpr double kGain = 0.02;

  double rate = 0.0;
};

}  // namespace fescueline
