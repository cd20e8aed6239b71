/** Moves of traffic between failure domains, within the shift cap. No I/O. */
package org.toucanrack.internal.coordination.move;
