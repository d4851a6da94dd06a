#include "Config/RequestPolicy.h"

namespace fescueline {

void RequestPolicy::SetLabel(PolicyLabel aLabel, const PolicyLabels& aLabels,
                             LabelDecision aSource) {
  switch (aLabel) {
    case PolicyLabel::Access:
      this->open = aLabels.open.value();
      break;
    case PolicyLabel::Importance:
      this->importance = aLabels.importance.value();
      break;
    case PolicyLabel::Idempotent:
      this->idempotent = aLabels.idempotent.value();
      break;
    case PolicyLabel::Deadline:
      this->deadline = aLabels.deadline.value();
      break;
    case PolicyLabel::Retries:
      this->retries = aLabels.retries.value();
      break;
  }
  this->decisions[static_cast<size_t>(aLabel)] = aSource;
}

}  // namespace fescueline
