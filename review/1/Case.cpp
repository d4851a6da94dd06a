// SIGTERM of one machine while the upstream beside it is at work on requests
// that this machine took from its clients. The upstream runs on.
//
// Judged: the requests that the stopped machine itself took. Only recorded: the
// requests that another machine took and that the same upstream runs.
#include "../rig/Rig.h"

using namespace rig;

int main(int, char** aArguments) {
  const std::string root = aArguments[1];
  Record::Get().Open(aArguments[2]);
  Fleet fleet(root, {"caja", "tramite", "planos", "zonifica"},
              {{.name = "filing-payment",
                .prefix = "/filing/",
                .safe = false,
                .service = "caja",
                .timeoutMs = 5000}});
  if (!fleet.WaitReady(8000)) {
    End(2, "the deployment did not become ready");
  }
  // The run takes 3.8 s, the client waits 5 s.
  Ask ask{.port = fleet.nodes[0]->Outbound(),
          .method = "POST",
          .path = "/filing/3800/1500",
          .timeoutMs = 5000,
          .body = std::string(4000, 'f')};
  Ask other = ask;
  other.port = fleet.nodes[1]->Outbound();
  std::vector<std::unique_ptr<Pending>> own;
  std::vector<std::unique_ptr<Pending>> others;
  for (int i = 0; i < 5; ++i) {
    own.push_back(std::make_unique<Pending>(ask));
    others.push_back(std::make_unique<Pending>(other));
    SleepMs(20);
  }
  SleepMs(300);
  const double stopAt = Now();
  if (Trouble()) {
    Note("SIGTERM to " + fleet.nodes[0]->Name());
    fleet.nodes[0]->Signal(SIGTERM);
  }
  std::vector<Answer> answers;
  for (const auto& pending : own) {
    answers.push_back(pending->Wait());
  }
  // Until all runs have ended.
  SleepMs(1500);
  int cut = 0;
  for (const Answer& answer : answers) {
    const auto runs = fleet.RunsOf(answer.id);
    if (runs.size() != 1) {
      End(2, "request " + answer.id + " was not run once");
    }
    // Not counted: runs into the last sixth of grace-s or near the deadline.
    const double end = runs.front().to;
    const bool inTime = end > 0 && end < answer.sentAt + 4.8 &&
                        (!Trouble() || end < stopAt + 4.8);
    cut += answer.Status() != 200 && inTime ? 1 : 0;
  }
  int cutElsewhere = 0;
  for (const auto& pending : others) {
    cutElsewhere += pending->Wait().Status() == 200 ? 0 : 1;
  }
  if (Trouble()) {
    fleet.nodes[0]->WaitEnd(8000);
  }
  Note(std::to_string(cutElsewhere) +
       " of 5 requests of the other machine at the same upstream were cut "
       "(not judged)");
  End(cut > 0 ? 1 : 0,
      std::to_string(cut) +
          " of 5 requests that the stopped machine had taken got an answer of "
          "the node's own in place of the upstream's");
}
