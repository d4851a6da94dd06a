#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace fescueline {

/// Limit on the bytes that a process holds for others, such as requests that
/// are being received. The limit is checked by the owners, which decide what to
/// give up. Not thread-safe.
class ByteBudget {
 public:
  /// aLimit: bytes.
  explicit ByteBudget(size_t aLimit) : limit(aLimit) {}

  size_t Held() const { return this->held; }
  size_t Limit() const { return this->limit; }
  bool IsExceeded() const { return this->held > this->limit; }
  /// Whether large holders have to give up bytes. An eighth of the limit is
  /// reserved for small ones, so that large bodies do not block all others.
  bool IsExceededForLarge() const {
    return this->held > this->limit - this->limit / kReservedPart;
  }
  /// Whether a holder of that many bytes is a large one.
  static bool IsLarge(size_t aBytes) { return aBytes > kMaxSmallBytes; }

 private:
  friend class HeldBytes;

  static constexpr size_t kReservedPart = 8;
  static constexpr size_t kMaxSmallBytes = size_t{64} * 1024;

  size_t limit;
  size_t held = 0;
};

/// Part of a budget that one owner uses; returned when the object ends. Not
/// thread-safe.
class HeldBytes {
 public:
  explicit HeldBytes(std::shared_ptr<ByteBudget> aBudget)
      : budget(std::move(aBudget)) {}
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes() { this->Set(0); }

  /// Sets the number of bytes that the owner holds now.
  void Set(size_t aBytes) {
    this->budget->held = this->budget->held - this->bytes + aBytes;
    this->bytes = aBytes;
  }
  size_t Size() const { return this->bytes; }

 private:
  std::shared_ptr<ByteBudget> budget;
  size_t bytes = 0;
};

}  // namespace fescueline
