/* Broken: a holder credits a transfer that answers an earlier statement. */
#define BROKEN_LATE_CREDIT
#include "share-transfer.pml"
