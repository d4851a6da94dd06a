// An upstream leaves; the node beside it is killed and started again; a
// heartbeat that the upstream sent before it left arrives late.
#include "../rig/Rig.h"

using namespace rig;

int main(int, char** aArguments) {
  const std::string root = aArguments[1];
  Record::Get().Open(aArguments[2]);
  Fleet fleet(root, {"caja", "caja", "tramite", "planos"},
              {{.name = "filing-payment",
                .prefix = "/filing/",
                .safe = false,
                .service = "caja",
                .timeoutMs = 5000}});
  if (!fleet.WaitReady(8000)) {
    End(2, "the deployment did not become ready");
  }
  Node& node = *fleet.nodes[0];
  Upstream& leaving = *fleet.upstreams[0];
  const std::string late = leaving.NextBeat();
  SleepMs(200);
  if (!leaving.Leave()) {
    End(2, "the upstream's leaving was not acknowledged");
  }
  const double ackAt = *leaving.DrainAckAt();
  double inTouchFrom = 0;
  if (Trouble()) {
    SleepMs(200);
    Note("SIGKILL to " + node.Name());
    node.Kill();
    SleepMs(800);
    Note("start of " + node.Name());
    inTouchFrom = Now() + 3.0;
    node.Start();
  } else {
    SleepMs(1000);
  }
  SleepMs(1500);
  if (leaving.DeliverBeat(late) == 0) {
    End(2, "the late heartbeat did not arrive");
  }
  // Both machines are in touch again: contact-ms after the start.
  const double from = std::max(inTouchFrom, ackAt + 2.0) + 0.2;
  while (Now() < from) {
    SleepMs(10);
  }
  std::vector<std::unique_ptr<Pending>> asked;
  for (int i = 0; i < 60; ++i) {
    asked.push_back(std::make_unique<Pending>(
        Ask{.port = fleet.nodes[2]->Outbound(),
            .method = "POST",
            .path = "/filing/400/1500",
            .timeoutMs = 5000,
            .body = std::string(4000, 'f')}));
    SleepMs(50);
  }
  leaving.Exit();
  int late400 = 0;
  int lost = 0;
  for (const auto& pending : asked) {
    const Answer answer = pending->Wait();
    const auto runs = leaving.RunsOf(answer.id);
    if (!runs.empty() && runs.front().from > ackAt + 2.0) {
      ++late400;
      lost += answer.Status() == 200 ? 0 : 1;
    }
  }
  const std::string text =
      std::to_string(late400) +
      " of 60 requests reached the upstream later than 2 s after its leaving "
      "was acknowledged; " +
      std::to_string(lost) + " of them were lost when it exited";
  End(late400 > 0 ? 1 : 0, text);
}
