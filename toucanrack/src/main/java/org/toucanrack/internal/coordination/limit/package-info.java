/** Limits the request rates of customers over all VMs by token escrow. No I/O. */
package org.toucanrack.internal.coordination.limit;
