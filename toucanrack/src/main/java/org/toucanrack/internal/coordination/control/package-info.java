/**
 * The control loop: membership, ownership, adoption of configurations and the published snapshot.
 */
package org.toucanrack.internal.coordination.control;
