/**
 * The port to the platform. Support for another platform needs one implementation of each interface
 * here; the packages that use them do not depend on the transport.
 */
package org.toucanrack.platform;
