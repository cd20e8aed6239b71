/** Slots of backend servers and the weighted fair queue before them. No I/O. */
package org.toucanrack.internal.coordination.dispatch;
