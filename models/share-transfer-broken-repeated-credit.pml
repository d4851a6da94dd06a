/* Broken: a holder credits a duplicated transfer again. */
#define BROKEN_REPEATED_CREDIT
#include "share-transfer.pml"
