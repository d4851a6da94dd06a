#include "Http1/ShedPolicy.h"

#include <map>

namespace fescueline {

namespace {
/// Index of the best of the eligible callers; nullopt if there is none.
template <typename Eligible, typename Better>
std::optional<size_t> BestOf(std::span<const CallerLoad> aCallers,
                             Eligible aIsEligible, Better aIsBetter) {
  std::optional<size_t> best;
  for (size_t i = 0; i < aCallers.size(); ++i) {
    const bool isBetter = !best || aIsBetter(aCallers[i], aCallers[*best]);
    if (aIsEligible(aCallers[i]) && isBetter) {
      best = i;
    }
  }
  return best;
}

/// Address whose eligible callers have the highest total weight.
template <typename Eligible, typename Weight>
asio::ip::address HeaviestAddress(std::span<const CallerLoad> aCallers,
                                  Eligible aIsEligible, Weight aWeight) {
  std::map<asio::ip::address, size_t> totals;
  asio::ip::address heaviest;
  size_t most = 0;
  for (const CallerLoad& caller : aCallers) {
    if (!aIsEligible(caller)) {
      continue;
    }
    size_t& total = totals[caller.address];
    total += aWeight(caller);
    if (total > most) {
      most = total;
      heaviest = caller.address;
    }
  }
  return heaviest;
}

/// Chooses among the eligible callers of the address that holds the most.
template <typename Eligible, typename Weight, typename Better>
std::optional<size_t> ChooseFairly(std::span<const CallerLoad> aCallers,
                                   Eligible aIsEligible, Weight aWeight,
                                   Better aIsBetter) {
  const asio::ip::address address =
      HeaviestAddress(aCallers, aIsEligible, aWeight);
  return BestOf(
      aCallers,
      [&](const CallerLoad& aCaller) {
        return aIsEligible(aCaller) && aCaller.address == address;
      },
      aIsBetter);
}

size_t HeldBy(const CallerLoad& aCaller) { return aCaller.held; }

bool HoldsMore(const CallerLoad& aLeft, const CallerLoad& aRight) {
  return aLeft.held > aRight.held;
}

bool MadeProgressEarlier(const CallerLoad& aLeft, const CallerLoad& aRight) {
  return aLeft.lastProgress < aRight.lastProgress;
}
}  // namespace

std::optional<size_t> ShedPolicy::ChooseForBytes(
    std::span<const CallerLoad> aCallers, const ByteBudget& aBudget) {
  if (!aBudget.IsExceededForLarge()) {
    return std::nullopt;
  }
  // The whole limit is for small holders.
  const bool smallToo = aBudget.IsExceeded();
  const auto receiving = ChooseFairly(
      aCallers,
      [smallToo](const CallerLoad& aCaller) {
        return aCaller.phase == CallerPhase::Receiving &&
               (smallToo || ByteBudget::IsLarge(aCaller.held));
      },
      HeldBy, HoldsMore);
  if (receiving || !smallToo) {
    return receiving;
  }
  return ChooseFairly(
      aCallers,
      [](const CallerLoad& aCaller) {
        return aCaller.phase == CallerPhase::Unread;
      },
      HeldBy, MadeProgressEarlier);
}

std::optional<size_t> ShedPolicy::ChooseForConnection(
    std::span<const CallerLoad> aCallers) {
  return ChooseFairly(
      aCallers,
      [](const CallerLoad& aCaller) {
        return aCaller.phase != CallerPhase::InProgress &&
               aCaller.phase != CallerPhase::Unread;
      },
      [](const CallerLoad&) { return size_t{1}; }, MadeProgressEarlier);
}

}  // namespace fescueline
