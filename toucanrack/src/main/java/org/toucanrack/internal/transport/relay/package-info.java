/**
 * HTTP/1.1 connections that carry complete messages: listeners towards callers and a pool of
 * connections towards backend servers, the platform and other VMs. This package moves messages and
 * decides nothing.
 */
package org.toucanrack.internal.transport.relay;
