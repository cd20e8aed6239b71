/**
 * Decisions about which requests are served when not all of them can be: the order of priorities,
 * and the pace of the machines that backend servers run on. The code does no I/O, and takes the
 * time as an argument.
 */
package org.toucanrack.internal.coordination.admission;
