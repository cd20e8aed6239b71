/** Exposure, comparison and planned rollout of backend server versions. No I/O. */
package org.toucanrack.internal.coordination.rollout;
