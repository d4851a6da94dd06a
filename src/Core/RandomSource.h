#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace fescueline {

/// Fast random numbers for load spreading and jitter; not for secrets.
/// Not thread-safe.
class RandomSource {
 public:
  /// Seeds from std::random_device.
  RandomSource();
  /// Seeds with a fixed value, for reproducible tests.
  explicit RandomSource(uint64_t aSeed) : engine(aSeed) {}

  /// Uniform in [0, aBound); aBound must be positive.
  uint64_t NextBelow(uint64_t aBound);
  /// Uniform in [0, 1).
  double NextDouble();
  /// Uniform over all 64-bit values.
  uint64_t Next() { return this->engine(); }

 private:
  std::mt19937_64 engine;
};

/// Random source of the calling thread.
RandomSource& ThreadRandom();

/// Unpredictable bytes for keys and nonces. Thread-safe.
std::string SecureRandomBytes(size_t aCount);

}  // namespace fescueline
