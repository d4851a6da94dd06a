// Case 7: half of the machines lose power, and a configuration is acknowledged
// at the same moment. Machines that are in touch go on with the one before it
// for longer than config-apply-ms.
#include "../6/rig.h"

using namespace rig;

namespace {
/// config-apply-ms of permisol-lima.
constexpr double kConfigApply = 2.0;
constexpr int kNodes = 16;
constexpr int kZones = 4;
/// Machines without power, half of them: the site's herd_kill with power has
/// share = 0.55. Those that follow the store for the others are among them.
constexpr size_t kOff = 8;
constexpr size_t kFollowers = 3;
/// Time without power; the site's herd_kill with power has for_s = 2.0.
constexpr double kOffFor = 2.0;
constexpr int kRounds = 5;
/// Time from a loss of power to the next; no multiple of the periods at which
/// nodes confirm the configuration and check their connections.
constexpr double kRound = 11.3;
constexpr double kPeriod = 0.05;
const std::string kKey = "6wsjnbanfqasnmgkcuyj";

std::string ConfigOf(int aVersion, const std::string& aService) {
  return Config(aVersion,
                {{.name = "r-fees",
                  .host = "jepu9.example",
                  .prefix = "/fees/",
                  .services = aService}},
                {"caja-a", "caja-b"}, {{.name = "pulo780", .keys = {kKey}}});
}

/// Nodes that follow the store for the others, by the last line about it.
std::vector<size_t> Followers(const Fleet& aFleet) {
  std::vector<size_t> followers;
  for (size_t i = 0; i < aFleet.nodes.size(); ++i) {
    std::ifstream log(aFleet.folder + "/" + aFleet.nodes[i]->Setup().name +
                      ".log");
    std::string line;
    bool follows = false;
    while (std::getline(log, line)) {
      if (line.find("follows the store for the fleet") != std::string::npos) {
        follows = true;
      } else if (line.find("relies on peers for the store") !=
                 std::string::npos) {
        follows = false;
      }
    }
    if (follows) {
      followers.push_back(i);
    }
  }
  return followers;
}

struct Sent {
  std::string id;
  std::string node;
  double at = 0;
  int status = 0;
};

int Play(Fleet& aFleet) {
  std::vector<std::string> services;
  for (int i = 0; i < kNodes; ++i) {
    services.push_back(i / kZones % 2 == 0 ? "caja-a" : "caja-b");
  }
  std::mutex mutex;
  std::map<std::string, std::string> ranBy;
  if (!aFleet.Start(services, kZones, ConfigOf(7, "caja-a"),
                    [&](Upstream& aUpstream) {
                      aUpstream.onRun = [&](const Upstream::Run& aRun) {
                        const std::lock_guard lock(mutex);
                        ranBy[aRun.id] = aRun.service;
                      };
                    })) {
    Say("the fleet did not start");
    return kCouldNotRun;
  }
  const bool trouble = Trouble();
  Sleep(3);

  // Clients of every machine; those of a machine without power pause.
  std::vector<Sent> sent;
  std::atomic<bool> go{true};
  std::atomic<int> open{0};
  std::vector<std::atomic<bool>> paused(aFleet.nodes.size());
  std::vector<std::thread> clients;
  for (size_t i = 0; i < aFleet.nodes.size(); ++i) {
    paused[i] = false;
    clients.emplace_back([&, i] {
      Sleep(kPeriod * static_cast<double>(i) / kNodes);
      for (int n = 0; go; ++n) {
        const double next = Now() + kPeriod;
        char text[32];
        std::snprintf(text, sizeof(text), "%04zx%012x", i, n);
        if (!paused[i]) {
          ++open;
          std::thread([&, i, id = std::string(text)] {
            Sent one{
                .id = id, .node = aFleet.nodes[i]->Setup().name, .at = Now()};
            Message answer;
            Fetch(aFleet.nodes[i]->Outbound(),
                  Request("GET", "/fees/2f",
                          {{"Host", "jepu9.example"},
                           {"X-Request-Id", id},
                           {"X-Timeout-Ms", "5000"},
                           {"Api-Key", kKey}}),
                  answer, 5.0);
            one.status = answer.Status();
            {
              const std::lock_guard lock(mutex);
              sent.push_back(one);
            }
            --open;
          }).detach();
        }
        SleepUntil(next);
      }
    });
  }

  struct Change {
    double acknowledged = 0;
    double next = 0;
    std::string before;
    std::set<std::string> off;
  };
  std::vector<Change> changes;
  for (int round = 0; round < kRounds; ++round) {
    const double begin = Now();
    std::vector<size_t> off = Followers(aFleet);
    if (off.size() < kFollowers) {
      Say("fewer than three nodes follow the store");
      return kCouldNotRun;
    }
    off.resize(kFollowers);
    for (size_t i = 0; off.size() < kOff; ++i) {
      if (std::find(off.begin(), off.end(), i) == off.end()) {
        off.push_back(i);
      }
    }
    Change change;
    change.before = round % 2 == 0 ? "caja-a" : "caja-b";
    for (const size_t i : off) {
      Say((trouble ? "power off: " : "stays on: ") +
          aFleet.nodes[i]->Setup().name);
      change.off.insert(aFleet.nodes[i]->Setup().name);
      if (trouble) {
        paused[i] = true;
        aFleet.PowerOff(i);
      }
    }
    Sleep(0.02);
    const int version = 12 + 5 * round;
    change.acknowledged = aFleet.store.Put(
        "op", "config",
        ConfigOf(version, round % 2 == 0 ? "caja-b" : "caja-a"));
    Say("version " + std::to_string(version) + " acknowledged: /fees/ leaves " +
        change.before);
    SleepUntil(begin + kOffFor);
    if (trouble) {
      for (const size_t i : off) {
        aFleet.PowerOn(i);
      }
    }
    SleepUntil(begin + kOffFor + 4);
    for (const size_t i : off) {
      paused[i] = false;
    }
    SleepUntil(begin + kRound);
    change.next = Now();
    changes.push_back(change);
  }
  go = false;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const double until = Now() + 6; open > 0 && Now() < until;) {
    Sleep(0.05);
  }

  const std::lock_guard lock(mutex);
  std::sort(sent.begin(), sent.end(), [](const Sent& aOne, const Sent& aOther) {
    return aOne.at < aOther.at;
  });
  size_t served = 0;
  for (const Sent& one : sent) {
    const auto found = ranBy.find(one.id);
    Note("sent at " + std::to_string(one.at) + " to " + one.node + " id " +
         one.id + " answered " + std::to_string(one.status) + " run by " +
         (found == ranBy.end() ? "none" : found->second));
    served += one.status == 200 ? 1 : 0;
  }
  size_t broken = 0;
  for (const Change& change : changes) {
    size_t count = 0;
    double last = 0;
    for (const Sent& one : sent) {
      const auto found = ranBy.find(one.id);
      const bool old = found != ranBy.end() && found->second == change.before;
      // Machines that lost power are not in touch.
      if (!old || one.at <= change.acknowledged || one.at >= change.next ||
          change.off.contains(one.node)) {
        continue;
      }
      last = std::max(last, one.at - change.acknowledged);
      count += one.at > change.acknowledged + kConfigApply ? 1 : 0;
    }
    broken += count;
    Say("run by " + change.before + " though sent later than " +
        std::to_string(kConfigApply) +
        " s after the acknowledgement: " + std::to_string(count) +
        "; the last one was sent " + std::to_string(last) + " s after it");
  }
  Say(std::to_string(sent.size()) + " requests, " + std::to_string(served) +
      " answered 200");
  if (served < sent.size() * 3 / 4) {
    Say("too few requests were served");
    return kCouldNotRun;
  }
  return broken > 0 ? kBroken : kHeld;
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
