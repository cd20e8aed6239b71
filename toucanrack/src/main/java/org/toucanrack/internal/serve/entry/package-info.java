/**
 * An entry VM on a platform's store: the control thread follows rules, servers and the other VMs,
 * the traffic thread serves callers. {@link org.toucanrack.internal.serve.entry.EntryNode} connects
 * both.
 */
package org.toucanrack.internal.serve.entry;
