/**
 * One entry VM that follows a platform's store: the control thread learns rules, servers and the
 * other VMs, the traffic thread serves callers. {@link
 * org.toucanrack.internal.serve.entry.EntryNode} wires both.
 */
package org.toucanrack.internal.serve.entry;
