/** Exposure and judgement of backend server versions. No I/O. */
package org.toucanrack.internal.coordination.rollout;
