/** HTTP/1.1 messages as they stand on a connection: heads, complete bodies, and their reader. */
package org.toucanrack.internal.protocol.message;
