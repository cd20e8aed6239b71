/** Tickets, which let a request run at most once, and the registry of their outcomes. No I/O. */
package org.toucanrack.internal.coordination.ticket;
