/* Broken: a holder's lease starts when it receives the response, not when it
 * sent its statement. */
#define BROKEN_LEASE_FROM_RECEIPT
#include "share-transfer.pml"
