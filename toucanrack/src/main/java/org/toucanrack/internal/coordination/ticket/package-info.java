/** Tickets and the record of their outcomes. No I/O. */
package org.toucanrack.internal.coordination.ticket;
