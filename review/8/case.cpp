// Case 8: the process that issues the tokens of the fleet's rates is killed and
// started again. Meanwhile each node saves up a token of its own, which it may
// spend later beside those of the next issuer.
#include "../6/rig.h"

using namespace rig;

namespace {
/// Bounds of permisol-lima-grown.
constexpr double kWindow = 5.0;
constexpr double kOverage = 0.1;
constexpr double kSlack = 20;
constexpr int kNodes = 52;
constexpr int kZones = 4;
constexpr int kRate = 20;
constexpr int kBurst = 20;
/// The sites' node_kill of a leader has for_s = 3.5.
constexpr double kDownFor = 3.5;
/// From the restart to the tenant's requests; longer than contact-ms.
constexpr double kCalm = 5.0;
/// The tenant's usual load: its limit divided by the site's quota_x of 1.6,
/// 12.5 a second, at the first machines.
constexpr int kUsualNodes = 8;
constexpr double kUsualPeriod = 0.64;
/// Then 7.5 times as many for less than 6.5 s, from all machines: hot_tenant.
constexpr double kHotFor = 6.0;
constexpr double kHotPeriod = kNodes / (7.5 * 12.5);
const std::string kKey = "6wsjnbanfqasnmgkcuyj";

int Play(Fleet& aFleet) {
  std::mutex mutex;
  std::map<std::string, double> ranAt;
  const std::string config = Config(
      7,
      {{.name = "r-status",
        .host = "jepu9.example",
        .prefix = "/status/",
        .services = "tramite"}},
      {"tramite"},
      {{.name = "pulo780", .keys = {kKey}, .rate = kRate, .burst = kBurst}});
  aFleet.extra = {{"limits.memory-mb", "160"},
                  {"bounds.drain-ms", "2500"},
                  {"bounds.budget-slack", "102"}};
  if (!aFleet.Start(std::vector<std::string>(kNodes, "tramite"), kZones, config,
                    [&](Upstream& aUpstream) {
                      aUpstream.onRun = [&](const Upstream::Run& aRun) {
                        const std::lock_guard lock(mutex);
                        ranAt[aRun.id] = aRun.at;
                      };
                    })) {
    Say("the fleet did not start");
    return kCouldNotRun;
  }
  std::map<std::string, std::pair<double, int>> sent;
  std::atomic<int> open{0};
  std::atomic<double> hotAt{1e9};
  const double begin = Now();
  std::vector<std::thread> clients;
  for (size_t i = 0; i < aFleet.nodes.size(); ++i) {
    clients.emplace_back([&, i] {
      double next = begin + kUsualPeriod * static_cast<double>(i) / kUsualNodes;
      bool hot = false;
      for (int n = 0; Now() < hotAt + kHotFor; ++n) {
        if (i >= kUsualNodes && Now() < hotAt) {
          Sleep(0.01);
          continue;
        }
        if (!hot && Now() >= hotAt) {
          hot = true;
          next = hotAt + kHotPeriod * static_cast<double>(i) / kNodes;
        }
        SleepUntil(next);
        next += hot ? kHotPeriod : kUsualPeriod;
        char text[32];
        std::snprintf(text, sizeof(text), "%04zx%012x", i, n);
        ++open;
        std::thread([&, i, id = std::string(text)] {
          const double at = Now();
          Message answer;
          Fetch(aFleet.nodes[i]->Outbound(),
                Request("GET", "/status/2f",
                        {{"Host", "jepu9.example"},
                         {"X-Request-Id", id},
                         {"X-Timeout-Ms", "5000"},
                         {"Api-Key", kKey}}),
                answer, 5.5);
          {
            const std::lock_guard lock(mutex);
            sent[id] = {at, answer.Status()};
          }
          --open;
        }).detach();
      }
    });
  }
  Sleep(4);
  // The process that last wrote to the store under a condition.
  const std::string writer = aFleet.store.LastWriter();
  Node* leader = nullptr;
  for (const auto& node : aFleet.nodes) {
    if (node->Setup().name == writer) {
      leader = node.get();
    }
  }
  if (leader == nullptr) {
    Say("no node renews a row");
    return kCouldNotRun;
  }
  Say((Trouble() ? "kill " : "would kill ") + writer +
      ", which last wrote to the store under a condition");
  if (Trouble()) {
    leader->Signal(SIGKILL);
    leader->Wait(3);
  }
  Sleep(kDownFor);
  if (Trouble()) {
    leader->Start(aFleet.folder);
    Say("started " + writer);
  }
  Sleep(kCalm);

  hotAt = Now();
  Say("the tenant sends 7.5 times its usual");
  for (std::thread& client : clients) {
    client.join();
  }
  for (const double until = Now() + 6; open > 0 && Now() < until;) {
    Sleep(0.05);
  }

  const std::lock_guard lock(mutex);
  // Requests that are both sent and arrive in a window.
  size_t most = 0;
  double worst = 0;
  std::map<int, int> statuses;
  for (const auto& [id, one] : sent) {
    const auto found = ranAt.find(id);
    Note("sent at " + std::to_string(one.first) + " " + id + " answered " +
         std::to_string(one.second) + " run at " +
         std::to_string(found == ranAt.end() ? 0 : found->second));
    ++statuses[one.second];
    size_t count = 0;
    for (const auto& [other, two] : sent) {
      const auto ran = ranAt.find(other);
      count += ran != ranAt.end() && two.first >= one.first &&
                       ran->second <= one.first + kWindow
                   ? 1
                   : 0;
    }
    if (count > most) {
      most = count;
      worst = one.first;
    }
  }
  const double allowed = (kRate * kWindow + kBurst) * (1 + kOverage) + kSlack;
  Say(std::to_string(sent.size()) + " requests, " +
      std::to_string(statuses[200]) + " answered 200, " +
      std::to_string(statuses[429]) + " answered 429; in the 5 s from " +
      std::to_string(worst) + " on " + std::to_string(most) +
      " were sent and run, allowed are " + std::to_string(allowed));
  if (statuses[200] < kRate * kHotFor / 2) {
    Say("too few requests were served");
    return kCouldNotRun;
  }
  return static_cast<double>(most) > allowed ? kBroken : kHeld;
}
}  // namespace

int main(int aCount, char** aArguments) {
  Record::Get().Open(aCount > 1 ? aArguments[1] : "record.txt");
  Fleet& fleet = *new Fleet;
  const int result = Play(fleet);
  fleet.End();
  Say(result == kHeld     ? "held"
      : result == kBroken ? "BROKEN"
                          : "could not run");
  std::fflush(stdout);
  _exit(result);
}
