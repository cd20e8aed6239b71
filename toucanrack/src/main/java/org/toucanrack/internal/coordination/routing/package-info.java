/** Choice of failure domain and backend server, and look-up answers. No I/O. */
package org.toucanrack.internal.coordination.routing;
