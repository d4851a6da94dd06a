/* Broken: a holder credits a transfer that responds to an earlier statement. */
#define BROKEN_LATE_CREDIT
#include "share-transfer.pml"
