/** Authenticated message connections between VMs. */
package org.toucanrack.internal.transport.peer;
