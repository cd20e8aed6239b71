/** Slots of backend servers and the weighted fair queue in front of them. No I/O. */
package org.toucanrack.internal.coordination.dispatch;
