/**
 * Decides which part of the requests runs in the own failure domain, in the other failure domains
 * of the region, and in other regions. The code does no I/O and takes the time as an argument.
 */
package org.toucanrack.internal.coordination.placement;
