// Case 6: the process of a node is killed and started again; the upstream next
// to it leaves by Instances.Deregister before its next heartbeat, and one of
// its heartbeats arrives late. The node takes the late heartbeat for one of a
// new process and passes requests on to the upstream that has left.
#include "rig.h"

using namespace rig;

namespace {
/// Bounds of permisol-lima.
constexpr double kDrain = 2.0;
constexpr double kContact = 3.0;
/// heartbeat-ms.
constexpr double kBeat = 1.5;
/// Times after the last heartbeat that the killed process received: its end,
/// the start of the next one, and the upstream's departure.
constexpr double kKillAfter = 0.1;
constexpr double kStartAfter = 0.6;
constexpr double kLeaveAfter = 1.55;
/// "A heartbeat may arrive seconds late."
constexpr double kLate = 2.2;
/// "It continues serving for drain-ms after the acknowledgement and a little
/// longer (at times many seconds)."
constexpr double kServesFor = 6.0;
constexpr double kPeriod = 0.02;
const std::string kKey = "6wsjnbanfqasnmgkcuyj";

int Play(Fleet& aFleet) {
  struct Arrival {
    double at = 0;
    std::string id;
    std::string instance;
  };
  std::mutex mutex;
  std::vector<Arrival> arrivals;
  const std::string config =
      Config(7,
             {{.name = "r-fees",
               .host = "jepu9.example",
               .prefix = "/fees/",
               .type = "unsafe",
               .services = "caja"}},
             {"caja", "tramite"}, {{.name = "pulo780", .keys = {kKey}}});
  if (!aFleet.Start({"tramite", "caja", "caja", "caja"}, 4, config,
                    [&](Upstream& aUpstream) {
                      aUpstream.onRun = [&](const Upstream::Run& aRun) {
                        const std::lock_guard lock(mutex);
                        arrivals.push_back({aRun.at, aRun.id, aRun.instance});
                      };
                    })) {
    Say("the fleet did not start");
    return kCouldNotRun;
  }
  const Node& entry = *aFleet.nodes[0];
  Node& node = *aFleet.nodes[1];
  Upstream& leaver = *aFleet.upstreams[1];
  const bool trouble = Trouble();

  std::atomic<bool> go{true};
  std::atomic<int> open{0};
  std::map<std::string, std::pair<double, int>> sent;
  std::thread client([&] {
    for (int n = 0; go; ++n) {
      const double next = Now() + kPeriod;
      char id[32];
      std::snprintf(id, sizeof(id), "%016x", n);
      ++open;
      std::thread([&, id = std::string(id)] {
        const double at = Now();
        Message answer;
        Fetch(entry.Outbound(),
              Request("POST", "/fees/2f",
                      {{"Host", "jepu9.example"},
                       {"X-Request-Id", id},
                       {"X-Timeout-Ms", "5000"},
                       {"Api-Key", kKey}},
                      "fee"),
              answer, 5.5);
        {
          const std::lock_guard lock(mutex);
          sent[id] = {at, answer.Status()};
        }
        --open;
      }).detach();
      SleepUntil(next);
    }
  });
  Sleep(2);

  // Heartbeats every 1.5 s; the last one before the kill, then the late one.
  leaver.beats = false;
  Sleep(kBeat);
  const double beatAt = Now();
  if (leaver.SendBeat(leaver.MakeBeat("ready")) != 200) {
    Say("a heartbeat was not acknowledged");
    return kCouldNotRun;
  }
  double startedAt = Now();
  if (trouble) {
    SleepUntil(beatAt + kKillAfter);
    node.Signal(SIGKILL);
    node.Wait(3);
    Say("killed " + node.Setup().name);
    SleepUntil(beatAt + kStartAfter);
    startedAt = Now();
    node.Start(aFleet.folder);
    Say("started " + node.Setup().name);
  }
  SleepUntil(beatAt + kBeat);
  const std::string late = leaver.MakeBeat("ready");
  const double madeAt = Now();
  Say(leaver.Id() + " sends its next heartbeat, which arrives late");
  SleepUntil(beatAt + kLeaveAfter);
  const int leave = leaver.Deregister();
  const double acknowledged = Now();
  Say("Instances.Deregister/" + leaver.Id() + " answered " +
      std::to_string(leave));
  if (leave != 200) {
    Say("the departure was not acknowledged");
    return kCouldNotRun;
  }
  SleepUntil(madeAt + kLate);
  Say("the late heartbeat, state ready, answered " +
      std::to_string(leaver.SendBeat(late)));
  SleepUntil(acknowledged + kServesFor);
  leaver.Exit();
  Say(leaver.Id() + " has ended");
  Sleep(1);
  go = false;
  client.join();
  for (const double until = Now() + 6; open > 0 && Now() < until;) {
    Sleep(0.05);
  }

  const std::lock_guard lock(mutex);
  // The node is in touch again contact-ms after its start.
  const double from =
      std::max(acknowledged + kDrain, startedAt + kContact) + 0.05;
  size_t late_arrivals = 0;
  for (const Arrival& arrival : arrivals) {
    Note("run at " + std::to_string(arrival.at) + " " + arrival.id + " by " +
         arrival.instance);
    late_arrivals +=
        arrival.instance == leaver.Id() && arrival.at > from ? 1 : 0;
  }
  std::map<int, int> statuses;
  for (const auto& [id, one] : sent) {
    Note("sent at " + std::to_string(one.first) + " " + id + " answered " +
         std::to_string(one.second));
    ++statuses[one.second];
  }
  std::string answers;
  for (const auto& [status, count] : statuses) {
    answers += std::to_string(status) + ": " + std::to_string(count) + ", ";
  }
  Say("answers " + answers + "requests that reached " + leaver.Id() +
      " later than drain-ms after the acknowledgement, its machine in touch: " +
      std::to_string(late_arrivals));
  if (statuses[200] < static_cast<int>(sent.size()) / 2) {
    Say("too few requests were served");
    return kCouldNotRun;
  }
  return late_arrivals > 0 ? kBroken : kHeld;
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
