/** HTTP/1.1 messages with complete bodies, and their parser and encoder. */
package org.toucanrack.internal.protocol.message;
