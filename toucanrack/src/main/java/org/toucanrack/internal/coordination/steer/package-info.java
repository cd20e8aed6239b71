/**
 * Decisions about requests on a VM that sends to all backend servers itself: which rule applies,
 * which server takes a request, how much of a customer's rate and of a cold server this VM may use,
 * and how a rollout goes on. Nothing here does I/O; time is an argument.
 */
package org.toucanrack.internal.coordination.steer;
