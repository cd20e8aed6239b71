/** Limits of customers' rates as escrow over all VMs. No I/O. */
package org.toucanrack.internal.coordination.limit;
