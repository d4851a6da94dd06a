#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

#include "Core/RandomSource.h"
#include "Limits/ShareIssuer.h"
#include "Limits/ShareLedger.h"

using namespace fescueline;

namespace {
constexpr MicroTokens kToken = kMicroTokensPerToken;
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr int kTicksPerSecond = 10;

/// Messages at the issuer of one organisation whose requests arrive at many
/// nodes, at 70% of its rate, in the first and in the tenth minute. Arguments:
/// nodes, rate, exchangesPerSecond. Messages arrive within the tick; a request
/// that finds no token waits for up to one tick.
void IssuerMessages(benchmark::State& aState) {
  const auto nodes = static_cast<size_t>(aState.range(0));
  const double rate = static_cast<double>(aState.range(1));
  const TimePoint start{std::chrono::hours(1)};
  ShareSettings settings;
  settings.exchangesPerSecond = static_cast<double>(aState.range(2));
  double firstMinute = 0;
  double tenthMinute = 0;
  double busiestSecond = 0;
  double refused = 0;
  double refusedLate = 0;
  for (auto _ : aState) {
    Allocation allocation;
    allocation.version = 1;
    allocation.issuerIncarnation = {.high = 0, .low = 1};
    const auto tokens = static_cast<MicroTokens>(rate) * kToken;
    allocation.total = {.rate = tokens, .capacity = tokens};
    ShareIssuer issuer("o", allocation, settings, start);
    std::vector<HeldShare> shares;
    for (size_t i = 0; i < nodes; ++i) {
      shares.emplace_back(
          "o",
          HolderIdentity{.node = std::to_string(i),
                         .incarnation = {.high = 0, .low = i + 1}},
          settings);
      shares.back().Install(allocation, start, start);
    }
    RandomSource random(5);
    TimePoint now = start;
    std::vector<ShareMessage> pending;
    std::vector<ShareMessage> next;
    std::vector<uint32_t> waiting(nodes);
    uint64_t count = 0;
    uint64_t total = 0;
    uint64_t dropped = 0;
    uint64_t totalBefore = 0;
    uint64_t droppedBefore = 0;
    const double perTick = 0.7 * rate / kTicksPerSecond;
    double due = 0;
    for (int second = 0; second < 600; ++second) {
      count = 0;
      if (second == 540) {
        totalBefore = total;
        droppedBefore = dropped;
      }
      for (int tick = 0; tick < kTicksPerSecond; ++tick) {
        now += kTick;
        for (due += perTick; due >= 1; due -= 1) {
          const size_t node = random.NextBelow(nodes);
          ++total;
          if (!shares[node].Admit(true, now)) {
            ++waiting[node];
          }
        }
        pending.clear();
        for (HeldShare& share : shares) {
          share.Tick(now, pending);
        }
        while (!pending.empty()) {
          next.clear();
          for (const ShareMessage& message : pending) {
            ++count;
            std::vector<ShareMessage> answers;
            if (const auto* transfer =
                    std::get_if<ShareTransfer>(&message.body)) {
              const auto node =
                  static_cast<size_t>(transfer->holderIncarnation.low - 1);
              shares[node].Receive(*transfer, now, next);
              continue;
            }
            if (const auto* request =
                    std::get_if<ShareRequest>(&message.body)) {
              answers = issuer.Receive(*request, now);
            } else {
              answers =
                  issuer.Receive(std::get<ShareReturn>(message.body), now);
            }
            next.insert(next.end(), answers.begin(), answers.end());
          }
          pending.swap(next);
        }
        for (size_t node = 0; node < nodes; ++node) {
          for (; waiting[node] > 0; --waiting[node]) {
            dropped += shares[node].Admit(false, now) ? 0 : 1;
          }
        }
      }
      const auto messages = static_cast<double>(count);
      firstMinute += second < 60 ? messages / 60 : 0;
      tenthMinute += second >= 540 ? messages / 60 : 0;
      busiestSecond = std::max(busiestSecond, messages);
    }
    refusedLate = 100.0 * static_cast<double>(dropped - droppedBefore) /
                  static_cast<double>(total - totalBefore);
    refused = 100.0 * static_cast<double>(dropped) / static_cast<double>(total);
  }
  aState.counters["first_minute"] = firstMinute;
  aState.counters["tenth_minute"] = tenthMinute;
  aState.counters["busiest_second"] = busiestSecond;
  aState.counters["refused_percent"] = refused;
  aState.counters["refused_tenth_minute"] = refusedLate;
}
BENCHMARK(IssuerMessages)
    ->Args({16, 1000, 256})
    ->Args({1000, 10000, 16})
    ->Args({1000, 10000, 256})
    ->Args({10000, 1000, 16})
    ->Args({10000, 100000, 16})
    ->Args({10000, 100000, 256})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
}  // namespace
