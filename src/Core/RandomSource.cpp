#include "Core/RandomSource.h"

#include <openssl/rand.h>

#include <cassert>

#include "Core/Error.h"

namespace fescueline {

RandomSource::RandomSource() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  this->engine.seed(seed);
}

uint64_t RandomSource::NextBelow(uint64_t aBound) {
  assert(aBound > 0);
  return std::uniform_int_distribution<uint64_t>(0, aBound - 1)(this->engine);
}

double RandomSource::NextDouble() {
  return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine);
}

RandomSource& ThreadRandom() {
  thread_local RandomSource sSource;
  return sSource;
}

std::string SecureRandomBytes(size_t aCount) {
  std::string bytes(aCount, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
                 static_cast<int>(aCount)) != 1) {
    throw Error("random.bytes", "", "libcrypto has no entropy");
  }
  return bytes;
}

}  // namespace fescueline
