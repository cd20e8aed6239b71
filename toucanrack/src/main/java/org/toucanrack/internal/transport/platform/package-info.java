/** HTTP adapter of the platform port. */
package org.toucanrack.internal.transport.platform;
