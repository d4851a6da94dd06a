/* Broken: a holder credits a repeated transfer again. */
#define BROKEN_REPEATED_CREDIT
#include "share-transfer.pml"
