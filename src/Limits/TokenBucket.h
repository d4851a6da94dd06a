#pragma once

#include <algorithm>
#include <cassert>
#include <cstdint>

#include "Core/Time.h"

namespace fescueline {

/// Tokens in millionths; one token admits one request. Integers, so that moving
/// shares between nodes cannot create capacity by rounding.
using MicroTokens = int64_t;

inline constexpr MicroTokens kMicroTokensPerToken = 1'000'000;

/// Part of an organisation's limit.
struct Portion {
  /// Tokens that accrue in a second.
  MicroTokens rate = 0;
  /// Tokens that can accumulate.
  MicroTokens capacity = 0;

  Portion& operator+=(const Portion& aOther) {
    this->rate += aOther.rate;
    this->capacity += aOther.capacity;
    return *this;
  }
  Portion& operator-=(const Portion& aOther) {
    this->rate -= aOther.rate;
    this->capacity -= aOther.capacity;
    return *this;
  }
  friend Portion operator+(Portion aLeft, const Portion& aRight) {
    return aLeft += aRight;
  }
  friend Portion operator-(Portion aLeft, const Portion& aRight) {
    return aLeft -= aRight;
  }
  bool operator==(const Portion&) const = default;
  /// Whether rate and capacity are at most those of aOther.
  bool FitsIn(const Portion& aOther) const {
    return this->rate <= aOther.rate && this->capacity <= aOther.capacity;
  }
  bool IsZero() const { return this->rate == 0 && this->capacity == 0; }
};

/// Token bucket whose portion can grow and shrink. Exact: the level is kept in
/// units of 10^-15 token, the product of a rate in micro-tokens per second and
/// a time in nanoseconds, so that no remainder is ever dropped. Not
/// thread-safe.
class TokenBucket {
 public:
  /// Spends one token if there is one.
  bool TrySpend(TimePoint aNow) {
    this->Refill(aNow);
    if (this->level < kUnitsPerToken) {
      return false;
    }
    this->level -= kUnitsPerToken;
    return true;
  }
  /// Adds a portion that contains aTokens tokens.
  void Add(const Portion& aPortion, MicroTokens aTokens, TimePoint aNow) {
    assert(aPortion.rate >= 0 && aTokens >= 0 && aTokens <= aPortion.capacity);
    this->Refill(aNow);
    this->portion += aPortion;
    this->level += Units(aTokens);
  }
  /// Removes a portion together with the tokens that the rest cannot hold, or
  /// with aMinimum tokens if that is more. Returns the tokens removed, at most
  /// the removed capacity.
  MicroTokens Remove(const Portion& aPortion, MicroTokens aMinimum,
                     TimePoint aNow) {
    assert(aPortion.FitsIn(this->portion));
    this->Refill(aNow);
    const MicroTokens present = this->WholeMicroTokens();
    this->portion -= aPortion;
    const MicroTokens surplus =
        std::max<MicroTokens>(0, present - this->portion.capacity);
    const MicroTokens removed =
        std::min({std::max(surplus, aMinimum), aPortion.capacity, present});
    this->level -= Units(removed);
    // A fraction of a micro-token above the capacity is dropped.
    this->level = std::min(this->level, Units(this->portion.capacity));
    return removed;
  }
  /// Changes the portion to aSize. Keeps the tokens that fit and adds none.
  void Resize(const Portion& aSize, TimePoint aNow) {
    const auto difference = [](MicroTokens aLeft, MicroTokens aRight) {
      return std::max<MicroTokens>(0, aLeft - aRight);
    };
    const Portion before = this->portion;
    this->Add({.rate = difference(aSize.rate, before.rate),
               .capacity = difference(aSize.capacity, before.capacity)},
              0, aNow);
    this->Remove({.rate = difference(before.rate, aSize.rate),
                  .capacity = difference(before.capacity, aSize.capacity)},
                 0, aNow);
  }
  /// Drops the whole portion and all tokens.
  void Clear(TimePoint aNow) {
    this->portion = Portion{};
    this->level = 0;
    this->refilledAt = std::max(this->refilledAt, aNow);
  }
  /// Tokens at aNow, rounded down.
  MicroTokens Tokens(TimePoint aNow) {
    this->Refill(aNow);
    return this->WholeMicroTokens();
  }
  /// Current rate and capacity.
  const Portion& Size() const { return this->portion; }

 private:
  /// In units of 10^-15 token.
  using Level = unsigned __int128;
  static constexpr Level kUnitsPerMicroToken = 1'000'000'000;
  static constexpr Level kUnitsPerToken =
      kUnitsPerMicroToken * kMicroTokensPerToken;

  static Level Units(MicroTokens aTokens) {
    return static_cast<Level>(aTokens) * kUnitsPerMicroToken;
  }
  MicroTokens WholeMicroTokens() const {
    return static_cast<MicroTokens>(this->level / kUnitsPerMicroToken);
  }
  void Refill(TimePoint aNow) {
    if (aNow <= this->refilledAt) {
      return;
    }
    const auto elapsed = static_cast<Level>((aNow - this->refilledAt).count());
    this->refilledAt = aNow;
    this->level =
        std::min(this->level + elapsed * static_cast<Level>(this->portion.rate),
                 Units(this->portion.capacity));
  }

  /// Rate and capacity.
  Portion portion;
  /// Tokens present at the time of the last refill.
  Level level = 0;
  /// Time of the last refill.
  TimePoint refilledAt{};
};

}  // namespace fescueline
