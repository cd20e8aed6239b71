/** The operators' port of a VM: metrics, health, readiness and status. */
package org.toucanrack.internal.transport.operator;
