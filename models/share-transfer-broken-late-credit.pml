/* Broken: a holder credits a transfer in response to an earlier statement. */
#define BROKEN_LATE_CREDIT
#include "share-transfer.pml"
