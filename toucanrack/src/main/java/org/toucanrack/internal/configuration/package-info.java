/** Reads, checks, encodes and publishes the declared configuration. */
package org.toucanrack.internal.configuration;
