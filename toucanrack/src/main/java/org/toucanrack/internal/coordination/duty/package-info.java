/**
 * Decisions about usage reports: which VM holds the duty to send them and with which fence, whether
 * it may send now, what true time and its windows are, and how counts of all VMs add up. The code
 * does no I/O and takes the time as an argument.
 */
package org.toucanrack.internal.coordination.duty;
