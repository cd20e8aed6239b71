/**
 * HTTP/1.1 connections that carry complete messages: listeners for callers, and a pool of
 * connections to backend servers, the platform and other VMs; also UDP datagrams. Routing and retry
 * policy is not part of this package.
 */
package org.toucanrack.internal.transport.relay;
