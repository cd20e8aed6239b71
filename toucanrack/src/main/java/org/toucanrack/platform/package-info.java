/**
 * The platform port. Another platform needs one implementation of each interface here; no other
 * package knows the transport.
 */
package org.toucanrack.platform;
