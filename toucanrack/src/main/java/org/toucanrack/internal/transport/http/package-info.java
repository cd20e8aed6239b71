/**
 * The callers' port and the path of a request from its admission to the response of a backend
 * server, on ActiveJ's HTTP server and client.
 */
package org.toucanrack.internal.transport.http;
