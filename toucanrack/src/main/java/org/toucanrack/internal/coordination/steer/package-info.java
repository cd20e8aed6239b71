/**
 * Decisions about requests on a VM that sends to all backend servers itself: which rule applies,
 * which server takes a request, how much of a customer's rate and of a cold server's capacity this
 * VM may use, and how a rollout proceeds. The code does no I/O and takes the time as an argument.
 */
package org.toucanrack.internal.coordination.steer;
