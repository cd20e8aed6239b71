/** Leases, domain rows and the ownership of resources. No I/O. */
package org.toucanrack.internal.coordination.lease;
