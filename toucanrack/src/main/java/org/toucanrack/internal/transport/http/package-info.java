/** HTTP servers and clients. */
package org.toucanrack.internal.transport.http;
