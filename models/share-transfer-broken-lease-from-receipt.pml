/* Broken: a holder counts its lease from the receipt of the answer. */
#define BROKEN_LEASE_FROM_RECEIPT
#include "share-transfer.pml"
