/** Connections between VMs. */
package org.toucanrack.internal.transport.peer;
